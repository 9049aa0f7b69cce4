// Parser of sapphirectl's arguments and environment.
#ifndef SAPPHIRESTREAM_CLIENT_COMMAND_LINE_H_
#define SAPPHIRESTREAM_CLIENT_COMMAND_LINE_H_

#include <map>
#include <string>
#include <vector>

#include "sapphirestream/base/clock.h"
#include "sapphirestream/base/error.h"
#include "sapphirestream/client/command.h"

namespace sapphirestream {

using ClientEnvironment = std::map<std::string, std::string>;

// Parses the arguments after the program's name. SAPPHIRECTL_INSTANCES,
// _OUTPUT, _AUTHOR and _TIMEOUT take effect where the flag is missing, and USER
// for the author. `now` is the origin of relative times. Errors: kBadSetting,
// whose detail names every problem found.
[[nodiscard]] leaf::result<Command> ParseCommandLine(
    const std::vector<std::string>& arguments,
    const ClientEnvironment& environment, WallTime now);

}  // namespace sapphirestream

#endif  // SAPPHIRESTREAM_CLIENT_COMMAND_LINE_H_
