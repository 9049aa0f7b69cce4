// Carries out a command and reports to the user.
#ifndef SAPPHIRESTREAM_CLIENT_RUN_COMMAND_H_
#define SAPPHIRESTREAM_CLIENT_RUN_COMMAND_H_

#include <iosfwd>

#include "sapphirestream/base/error.h"
#include "sapphirestream/base/random.h"
#include "sapphirestream/client/command.h"
#include "sapphirestream/client/pause.h"
#include "sapphirestream/client/transport.h"

namespace sapphirestream {

// Where a command's text goes: results to `out`, progress and errors to `err`.
struct Streams {
  std::ostream& out;
  std::ostream& err;
};

// Returns the exit code of the program.
[[nodiscard]] int RunCommand(const Command& command, Transport& transport,
                             Pause& pause, Random& random, Streams streams);

// Prints an error and returns its exit code.
[[nodiscard]] int ReportError(const Error& error, OutputFormat format,
                              Streams streams);

}  // namespace sapphirestream

#endif  // SAPPHIRESTREAM_CLIENT_RUN_COMMAND_H_
