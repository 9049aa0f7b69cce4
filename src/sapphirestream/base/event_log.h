// The log: one line of key=value pairs per event. Repeated events are limited
// to a few lines per period, with a count of the others; sinks write the lines.
#ifndef SAPPHIRESTREAM_BASE_EVENT_LOG_H_
#define SAPPHIRESTREAM_BASE_EVENT_LOG_H_

#include <concepts>
#include <cstdint>
#include <initializer_list>
#include <map>
#include <optional>
#include <string>
#include <string_view>

#include "sapphirestream/base/clock.h"

namespace sapphirestream {

enum class LogLevel : std::uint8_t { kDebug, kInfo, kWarn, kError };

// Returns the level with the given name.
[[nodiscard]] std::optional<LogLevel> ParseLogLevel(std::string_view name);
[[nodiscard]] std::string_view Name(LogLevel level) noexcept;

// One key=value pair. Values with spaces, quotes or control characters are
// quoted.
struct LogField {
  LogField(std::string_view field_key, std::string_view field_value)
      : key(field_key), value(field_value) {}
  LogField(std::string_view field_key, std::integral auto number)
      : key(field_key), value(std::to_string(number)) {}

  std::string_view key;
  std::string value;
};

// Takes finished lines.
class LogSink {
 public:
  virtual ~LogSink() = default;
  virtual void Write(LogLevel level, const std::string& line) = 0;
};

// Used by one thread.
class EventLog {
 public:
  // Lines of one event name in one period; more are counted.
  static constexpr int kLinesPerPeriod = 10;
  static constexpr Duration kPeriod = std::chrono::seconds(10);

  // `lines_per_period` bounds each event name separately.
  EventLog(LogSink& sink, const Clock& clock,
           int lines_per_period = kLinesPerPeriod)
      : sink_(sink), clock_(clock), lines_per_period_(lines_per_period) {}

  // Writes `event=<name> key=value...`. The first line of a period carries
  // `suppressed=<n>` if n lines of the event were left out before it. Event
  // names are literals, so that their number is bounded.
  void Write(LogLevel level, std::string_view event,
             std::initializer_list<LogField> fields);

 private:
  struct Rate {
    TimePoint period_start;
    int written = 0;
    std::uint64_t suppressed = 0;
  };

  LogSink& sink_;
  const Clock& clock_;
  int lines_per_period_;
  std::map<std::string, Rate, std::less<>> rates_;
};

}  // namespace sapphirestream

#endif  // SAPPHIRESTREAM_BASE_EVENT_LOG_H_
