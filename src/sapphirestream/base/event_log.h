// Structured log: one line of key=value pairs per event. Each event is limited
// to a few lines per period; suppressed lines are counted. Sinks write the
// lines.
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

// Returns the level with the given name, or nothing if there is none.
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

// Receives formatted lines.
class LogSink {
 public:
  virtual ~LogSink() = default;
  virtual void Write(LogLevel level, const std::string& line) = 0;
};

// Not thread-safe.
class EventLog {
 public:
  // Maximum number of lines per event name and period.
  static constexpr int kLinesPerPeriod = 10;
  static constexpr Duration kPeriod = std::chrono::seconds(10);

  // `lines_per_period` limits each event name separately.
  EventLog(LogSink& sink, const Clock& clock,
           int lines_per_period = kLinesPerPeriod)
      : sink_(sink), clock_(clock), lines_per_period_(lines_per_period) {}

  // Writes `event=<name> key=value...`. The first line of a period carries
  // `suppressed=<n>` if n lines of the event were suppressed before it. Event
  // names must be literals, so that their number is bounded.
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
