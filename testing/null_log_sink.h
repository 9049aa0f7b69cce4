// Log sink that discards all lines.
#ifndef SAPPHIRESTREAM_TESTING_NULL_LOG_SINK_H_
#define SAPPHIRESTREAM_TESTING_NULL_LOG_SINK_H_

#include <string>

#include "sapphirestream/base/event_log.h"

namespace sapphirestream::testing {

struct NullLogSink final : LogSink {
  void Write(LogLevel /*level*/, const std::string& /*line*/) override {}
};

}  // namespace sapphirestream::testing

#endif  // SAPPHIRESTREAM_TESTING_NULL_LOG_SINK_H_
