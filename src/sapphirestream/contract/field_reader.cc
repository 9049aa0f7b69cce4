// Type and range checks, with error messages that contain the path, the value
// and the allowed range.
#include "sapphirestream/contract/field_reader.h"

#include <algorithm>
#include <utility>

#include "sapphirestream/contract/limits.h"

namespace sapphirestream::internal {
namespace {

namespace json = boost::json;

// Maximum number of bytes of an invalid value quoted in an error message.
constexpr std::size_t kMaxQuotedBytes = 60;
constexpr std::ptrdiff_t kKnownBits = 64;

std::string Quote(const json::value& value) {
  std::string text = json::serialize(value);
  if (text.size() > kMaxQuotedBytes) {
    text.resize(kMaxQuotedBytes);
    text += "...";
  }
  return text;
}

std::string ToText(Range range) {
  return std::to_string(range.min) + " to " + std::to_string(range.max);
}

bool IsNameByte(char c) {
  return (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z') ||
         (c >= '0' && c <= '9') || c == '-' || c == '_' || c == '.';
}

bool IsControl(char c) {
  const auto byte = static_cast<unsigned char>(c);
  return byte < 0x20 || byte == 0x7f;
}

}  // namespace

std::uint64_t ReadInteger(const json::value& value, const std::string& path,
                          Range range, ParseStatus& status) {
  if (!value.is_int64() && !value.is_uint64()) {
    status.Fail(ErrorKind::kWrongType,
                path + ": " + Quote(value) + " is not an integer");
    return range.min;
  }
  const bool negative = value.is_int64() && value.get_int64() < 0;
  const std::uint64_t number =
      negative            ? 0
      : value.is_uint64() ? value.get_uint64()
                          : static_cast<std::uint64_t>(value.get_int64());
  if (negative || number < range.min || number > range.max) {
    status.Fail(ErrorKind::kOutOfRange,
                path + ": " + Quote(value) + " is outside " + ToText(range));
    return range.min;
  }
  return number;
}

FieldReader::FieldReader(const json::value& value, std::string path,
                         ParseStatus& status)
    : object_(value.if_object()), path_(std::move(path)), status_(status) {
  if (object_ == nullptr) {
    status_.Fail(ErrorKind::kWrongType, (path_.empty() ? "body" : path_) +
                                            ": " + Quote(value) +
                                            " is not an object");
  }
}

const json::value* FieldReader::Lookup(std::string_view name) {
  if (object_ == nullptr) return nullptr;
  const auto field = object_->find(name);
  if (field == object_->end()) return nullptr;
  const auto position = field - object_->begin();
  if (position < kKnownBits) known_ |= std::uint64_t{1} << position;
  return &field->value();
}

bool FieldReader::Contains(std::string_view name) {
  return Lookup(name) != nullptr;
}

std::string FieldReader::PathOf(std::string_view name) const {
  std::string path = path_;
  if (!path.empty()) path += '.';
  return path.append(name);
}

const json::value* FieldReader::Find(std::string_view name,
                                     std::string_view expected) {
  const json::value* value = Lookup(name);
  if (value == nullptr && object_ != nullptr) {
    status_.Fail(ErrorKind::kWrongType,
                 PathOf(name) + ": missing, expected " + std::string(expected));
  }
  return value;
}

void FieldReader::FailType(std::string_view name, std::string_view expected,
                           const json::value& value) {
  status_.Fail(ErrorKind::kWrongType, PathOf(name) + ": " + Quote(value) +
                                          " is not " + std::string(expected));
}

std::uint64_t FieldReader::Number(std::string_view name, Range range) {
  const json::value* value = Find(name, "an integer");
  if (value == nullptr) return range.min;
  return ReadInteger(*value, PathOf(name), range, status_);
}

bool FieldReader::Bool(std::string_view name) {
  const json::value* value = Find(name, "true or false");
  if (value == nullptr) return false;
  if (!value->is_bool()) {
    FailType(name, "true or false", *value);
    return false;
  }
  return value->get_bool();
}

std::string FieldReader::Text(std::string_view name, Range length) {
  const json::value* value = Find(name, "a string");
  if (value == nullptr) return {};
  if (!value->is_string()) {
    FailType(name, "a string", *value);
    return {};
  }
  std::string text(value->get_string());
  if (text.size() < length.min || text.size() > length.max) {
    status_.Fail(ErrorKind::kOutOfRange,
                 PathOf(name) + ": length of " + std::to_string(text.size()) +
                     " bytes is outside " + ToText(length));
  } else if (std::any_of(text.begin(), text.end(), IsControl)) {
    status_.Fail(ErrorKind::kOutOfRange, PathOf(name) + ": " + Quote(*value) +
                                             " has a control character");
  }
  return text;
}

std::string FieldReader::Name(std::string_view name) {
  std::string text = Text(name, {1, kMaxNameBytes});
  if (!std::all_of(text.begin(), text.end(), IsNameByte)) {
    status_.Fail(ErrorKind::kOutOfRange,
                 PathOf(name) + ": \"" + text +
                     "\" has characters other than letters, digits, '-', "
                     "'_' and '.'");
  }
  return text;
}

Endpoint FieldReader::EndpointWithPort(std::string_view name) {
  const std::string text = Text(name, {0, 1000});
  if (!status_.ok()) return {};
  const auto endpoint = ParseEndpoint(text);
  if (!endpoint || endpoint->port == 0) {
    status_.Fail(ErrorKind::kOutOfRange,
                 PathOf(name) + ": \"" + text +
                     "\" is not an address with a port of 1 to 65535");
    return {};
  }
  return *endpoint;
}

WallTime FieldReader::Timestamp(std::string_view name) {
  return WallTime(
      std::chrono::milliseconds(Number(name, {0, kMaxTimestampMs})));
}

std::span<const json::value> FieldReader::Array(std::string_view name,
                                                std::size_t max_size) {
  const json::value* value = Find(name, "an array");
  if (value == nullptr) return {};
  if (!value->is_array()) {
    FailType(name, "an array", *value);
    return {};
  }
  const json::array& array = value->get_array();
  if (array.size() > max_size) {
    status_.Fail(ErrorKind::kOutOfRange,
                 PathOf(name) + ": " + std::to_string(array.size()) +
                     " elements are outside 0 to " + std::to_string(max_size));
    return {};
  }
  return {array.data(), array.size()};
}

const json::value* FieldReader::RawValue(std::string_view name) {
  return Find(name, "a value");
}

void FieldReader::Finish() {
  if (object_ == nullptr) return;
  for (auto field = object_->begin(); field != object_->end(); ++field) {
    const auto position = field - object_->begin();
    const bool known =
        position < kKnownBits && ((known_ >> position) & 1U) != 0;
    if (!known) {
      const std::string_view name = field->key();
      status_.Fail(ErrorKind::kUnknownField, PathOf(name));
      return;
    }
  }
}

leaf::result<json::value> ParseJson(std::string_view text) {
  boost::system::error_code error;
  json::parser parser;
  const std::size_t used = parser.write_some(text, error);
  if (error || used != text.size()) {
    return MakeError(ErrorKind::kMalformedJson,
                     "byte " + std::to_string(used) + ": " +
                         (error ? error.message() : "text after the value"));
  }
  return parser.release();
}

}  // namespace sapphirestream::internal
