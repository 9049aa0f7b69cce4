// The subcommands of the stand-ins program.
#ifndef SAPPHIRESTREAM_TESTING_STANDINS_SUBCOMMAND_H_
#define SAPPHIRESTREAM_TESTING_STANDINS_SUBCOMMAND_H_

#include <string>
#include <vector>

#include "sapphirestream/base/endpoint.h"

namespace sapphirestream::standins {

using Arguments = std::vector<std::string>;

// Each runs until SIGTERM, SIGINT or the end of its `--seconds`, and returns
// the exit code.
int RunObjectApi(const Arguments& arguments);
int RunTarget(const Arguments& arguments);
int RunLoad(const Arguments& arguments);

// Parses `A:P[,A:P...]`. Throws std::invalid_argument if one is malformed.
[[nodiscard]] std::vector<Endpoint> ParseEndpoints(const std::string& list);
// Parses one endpoint. Throws std::invalid_argument if it is malformed.
[[nodiscard]] Endpoint RequireEndpoint(const std::string& text);

}  // namespace sapphirestream::standins

#endif  // SAPPHIRESTREAM_TESTING_STANDINS_SUBCOMMAND_H_
