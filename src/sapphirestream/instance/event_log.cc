// The log: one line of key=value pairs per event.
#include "sapphirestream/instance/event_log.h"

#include <log4cxx/consoleappender.h>
#include <log4cxx/logger.h>
#include <log4cxx/patternlayout.h>

#include <algorithm>
#include <array>
#include <memory>

namespace sapphirestream {
namespace {

constexpr std::array<std::string_view, 4> kLevelNames{"debug", "info", "warn",
                                                      "error"};

log4cxx::LevelPtr ToLog4cxx(LogLevel level) {
  switch (level) {
    case LogLevel::kDebug:
      return log4cxx::Level::getDebug();
    case LogLevel::kInfo:
      return log4cxx::Level::getInfo();
    case LogLevel::kWarn:
      return log4cxx::Level::getWarn();
    case LogLevel::kError:
      break;
  }
  return log4cxx::Level::getError();
}

log4cxx::LoggerPtr RootLogger() { return log4cxx::Logger::getRootLogger(); }

// Without quotes a value could pose as another field or another line.
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

std::optional<LogLevel> ParseLogLevel(std::string_view name) {
  const auto* const it =
      std::find(kLevelNames.begin(), kLevelNames.end(), name);
  if (it == kLevelNames.end()) return std::nullopt;
  return static_cast<LogLevel>(it - kLevelNames.begin());
}

ConsoleLogSink::ConsoleLogSink(LogLevel threshold) {
  const auto layout = std::make_shared<log4cxx::PatternLayout>(
      LOG4CXX_STR("time=%d{yyyy-MM-ddTHH:mm:ss.SSSZ} level=%p %m%n"));
  const auto appender = std::make_shared<log4cxx::ConsoleAppender>(
      layout, log4cxx::ConsoleAppender::getSystemErr());
  RootLogger()->removeAllAppenders();
  RootLogger()->addAppender(appender);
  RootLogger()->setLevel(ToLog4cxx(threshold));
}

void ConsoleLogSink::Write(LogLevel level, const std::string& line) {
  RootLogger()->log(ToLog4cxx(level), line,
                    log4cxx::spi::LocationInfo::getLocationUnavailable());
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
  if (rate.written >= kLinesPerPeriod) {
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
