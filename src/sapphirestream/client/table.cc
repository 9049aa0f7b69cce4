// Rendering of JSON as aligned text columns.
#include "sapphirestream/client/table.h"

#include <algorithm>
#include <boost/json/array.hpp>
#include <boost/json/object.hpp>
#include <boost/json/serialize.hpp>
#include <string_view>
#include <vector>

#include "sapphirestream/client/time_format.h"

namespace sapphirestream {
namespace {

namespace json = boost::json;
using Row = std::vector<std::string>;

bool IsTime(std::string_view field) noexcept {
  return field == "from" || field == "until" || field == "accepted" ||
         field.ends_with("_at");
}

std::string Cell(std::string_view field, const json::value& value) {
  if (value.is_string()) return std::string(value.as_string());
  if (value.is_int64() && IsTime(field) && value.as_int64() > 0) {
    return FormatTime(WallTime(std::chrono::milliseconds(value.as_int64())));
  }
  if (value.is_array()) {
    const json::array& items = value.as_array();
    if (!items.empty() && items.front().is_object()) {
      return std::to_string(items.size());
    }
    std::string text;
    for (const json::value& item : items) {
      text += (text.empty() ? "" : ",") + Cell({}, item);
    }
    return text.empty() ? "-" : text;
  }
  return json::serialize(value);
}

std::string Align(const std::vector<Row>& rows) {
  std::vector<std::size_t> widths;
  for (const Row& row : rows) {
    widths.resize(std::max(widths.size(), row.size()));
    for (std::size_t i = 0; i < row.size(); ++i) {
      widths[i] = std::max(widths[i], row[i].size());
    }
  }
  std::string text;
  for (const Row& row : rows) {
    for (std::size_t i = 0; i < row.size(); ++i) {
      text += row[i];
      if (i + 1 < row.size()) text.append(widths[i] - row[i].size() + 2, ' ');
    }
    text += '\n';
  }
  return text;
}

bool IsTable(const json::value& value) {
  return value.is_array() && !value.as_array().empty() &&
         value.as_array().front().is_object();
}

std::string RenderRows(const json::array& items) {
  std::vector<std::string_view> columns;
  for (const json::value& item : items) {
    if (!item.is_object()) continue;
    for (const auto& field : item.as_object()) {
      const std::string_view name(field.key().data(), field.key().size());
      if (std::find(columns.begin(), columns.end(), name) == columns.end()) {
        columns.push_back(name);
      }
    }
  }
  std::vector<Row> rows{Row(columns.begin(), columns.end())};
  for (const json::value& item : items) {
    Row& row = rows.emplace_back();
    for (const std::string_view column : columns) {
      const json::value* const value =
          item.is_object() ? item.as_object().if_contains(column) : nullptr;
      row.push_back(value == nullptr ? "-" : Cell(column, *value));
    }
  }
  return Align(rows);
}

void RenderObject(const json::object& object, const std::string& prefix,
                  std::vector<Row>& lines, std::string& tables) {
  for (const auto& field : object) {
    const std::string name = prefix + std::string(field.key());
    if (field.value().is_object()) {
      RenderObject(field.value().as_object(), name + ".", lines, tables);
    } else if (IsTable(field.value())) {
      tables += '\n' + name + '\n' + RenderRows(field.value().as_array());
    } else {
      lines.push_back({name, Cell(std::string(field.key()), field.value())});
    }
  }
}

}  // namespace

std::string RenderTable(const json::value& value) {
  if (IsTable(value)) return RenderRows(value.as_array());
  if (!value.is_object()) return Cell({}, value) + '\n';
  std::vector<Row> lines;
  std::string tables;
  RenderObject(value.as_object(), "", lines, tables);
  return Align(lines) + tables;
}

}  // namespace sapphirestream
