// A log sink that writes to standard error.
#ifndef SAPPHIRESTREAM_INSTANCE_CONSOLE_LOG_SINK_H_
#define SAPPHIRESTREAM_INSTANCE_CONSOLE_LOG_SINK_H_

#include <string>

#include "sapphirestream/base/event_log.h"

namespace sapphirestream {

// Writes lines through log4cxx, prefixed with time and level.
class ConsoleLogSink final : public LogSink {
 public:
  explicit ConsoleLogSink(LogLevel threshold);
  void Write(LogLevel level, const std::string& line) override;
};

}  // namespace sapphirestream

#endif  // SAPPHIRESTREAM_INSTANCE_CONSOLE_LOG_SINK_H_
