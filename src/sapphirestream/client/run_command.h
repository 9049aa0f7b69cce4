// Execution of a command of sapphirectl.
#ifndef SAPPHIRESTREAM_CLIENT_RUN_COMMAND_H_
#define SAPPHIRESTREAM_CLIENT_RUN_COMMAND_H_

#include <iosfwd>

#include "sapphirestream/base/error.h"
#include "sapphirestream/base/random.h"
#include "sapphirestream/client/command.h"
#include "sapphirestream/client/sleep_clock.h"
#include "sapphirestream/client/transport.h"

namespace sapphirestream {

// Output streams: results go to `out`, progress and errors to `err`.
struct Streams {
  std::ostream& out;
  std::ostream& err;
};

// Runs a command and returns the exit code of the program.
[[nodiscard]] int RunCommand(const Command& command, Transport& transport,
                             SleepClock& clock, Random& random,
                             Streams streams);

// Prints an error and returns its exit code.
[[nodiscard]] int ReportError(const Error& error, OutputFormat format,
                              Streams streams);

}  // namespace sapphirestream

#endif  // SAPPHIRESTREAM_CLIENT_RUN_COMMAND_H_
