// Parsing of sapphirectl's arguments and environment.
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

// Parses the arguments after the program name. SAPPHIRECTL_INSTANCES, _OUTPUT,
// _AUTHOR and _TIMEOUT apply if the flag is missing; the author then defaults
// to USER. Relative times are resolved against `now`. Errors: kBadSetting,
// whose detail lists all errors found.
[[nodiscard]] leaf::result<Command> ParseCommandLine(
    const std::vector<std::string>& arguments,
    const ClientEnvironment& environment, WallTime now);

}  // namespace sapphirestream

#endif  // SAPPHIRESTREAM_CLIENT_COMMAND_LINE_H_
