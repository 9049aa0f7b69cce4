#include "sapphirestream/instance/console_log_sink.h"

#include <log4cxx/consoleappender.h>
#include <log4cxx/logger.h>
#include <log4cxx/patternlayout.h>

#include <memory>

namespace sapphirestream {
namespace {

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

}  // namespace

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

}  // namespace sapphirestream
