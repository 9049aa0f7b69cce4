// Access to environment variables. Settings take it as a function, so that
// tests can supply their own.
#ifndef SAPPHIRESTREAM_BASE_ENVIRONMENT_H_
#define SAPPHIRESTREAM_BASE_ENVIRONMENT_H_

#include <cstdlib>
#include <functional>
#include <optional>
#include <string>

namespace sapphirestream {

// Returns the value of a variable, or nothing if it is not set.
using Environment =
    std::function<std::optional<std::string>(const std::string& name)>;

// Reads a variable of the process environment.
inline std::optional<std::string> ReadEnvironment(const std::string& name) {
  const char* value =
      std::getenv(name.c_str());  // NOLINT(concurrency-mt-unsafe)
  if (value == nullptr) return std::nullopt;
  return value;
}

}  // namespace sapphirestream

#endif  // SAPPHIRESTREAM_BASE_ENVIRONMENT_H_
