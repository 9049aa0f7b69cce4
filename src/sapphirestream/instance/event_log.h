// The log: one line of key=value pairs per event, on standard error. Repeated
// events are limited to a few lines per period, with a count of the others.
#ifndef SAPPHIRESTREAM_INSTANCE_EVENT_LOG_H_
#define SAPPHIRESTREAM_INSTANCE_EVENT_LOG_H_

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

// Writes lines through log4cxx, with time and level in front.
class ConsoleLogSink final : public LogSink {
 public:
  explicit ConsoleLogSink(LogLevel threshold);
  void Write(LogLevel level, const std::string& line) override;
};

// Used by one thread.
class EventLog {
 public:
  // Lines of one event name in one period; more are counted.
  static constexpr int kLinesPerPeriod = 10;
  static constexpr Duration kPeriod = std::chrono::seconds(10);

  EventLog(LogSink& sink, const Clock& clock) : sink_(sink), clock_(clock) {}

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
  std::map<std::string, Rate, std::less<>> rates_;
};

}  // namespace sapphirestream

#endif  // SAPPHIRESTREAM_INSTANCE_EVENT_LOG_H_
