// Structured log: one line of key=value pairs per event.
#include "sapphirestream/base/event_log.h"

#include <algorithm>
#include <array>

namespace sapphirestream {
namespace {

constexpr std::array<std::string_view, 4> kLevelNames{"debug", "info", "warn",
                                                      "error"};

// Quotes values that could otherwise be parsed as another field or line.
void AppendValue(const std::string& value, std::string& line) {
  const bool is_plain =
      !value.empty() && std::all_of(value.begin(), value.end(), [](char c) {
        return c > ' ' && c != '"' && c != '=' && c != '\\' && c != 0x7f;
      });
  if (is_plain) {
    line += value;
    return;
  }
  line += '"';
  for (const char c : value) {
    if (c == '"' || c == '\\') line += '\\';
    const bool is_control = static_cast<unsigned char>(c) < ' ' || c == 0x7f;
    line += is_control ? '.' : c;
  }
  line += '"';
}

}  // namespace

std::string_view Name(LogLevel level) noexcept {
  return kLevelNames[static_cast<std::size_t>(level)];
}

std::optional<LogLevel> ParseLogLevel(std::string_view name) {
  const auto* const it =
      std::find(kLevelNames.begin(), kLevelNames.end(), name);
  if (it == kLevelNames.end()) return std::nullopt;
  return static_cast<LogLevel>(it - kLevelNames.begin());
}

void EventLog::Write(LogLevel level, std::string_view event,
                     std::initializer_list<LogField> fields) {
  const TimePoint now = clock_.Now();
  auto it = rates_.find(event);
  if (it == rates_.end()) {
    it = rates_.emplace(std::string(event), Rate{now, 0, 0}).first;
  }
  Rate& rate = it->second;
  if (now - rate.period_start >= kPeriod) {
    rate.period_start = now;
    rate.written = 0;
  }
  if (rate.written >= lines_per_period_) {
    ++rate.suppressed;
    return;
  }
  ++rate.written;
  std::string line = "event=" + std::string(event);
  for (const LogField& field : fields) {
    line += ' ';
    line += field.key;
    line += '=';
    AppendValue(field.value, line);
  }
  if (rate.suppressed != 0) {
    line += " suppressed=" + std::to_string(rate.suppressed);
    rate.suppressed = 0;
  }
  sink_.Write(level, line);
}

}  // namespace sapphirestream
