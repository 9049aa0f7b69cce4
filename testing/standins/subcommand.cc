// Parsing of arguments, shared by the subcommands.
#include "testing/standins/subcommand.h"

#include <sstream>
#include <stdexcept>

namespace sapphirestream::standins {

Endpoint RequireEndpoint(const std::string& text) {
  if (const auto endpoint = ParseEndpoint(text)) return *endpoint;
  throw std::invalid_argument("malformed endpoint '" + text + "'");
}

std::vector<Endpoint> ParseEndpoints(const std::string& list) {
  std::vector<Endpoint> endpoints;
  std::istringstream stream(list);
  for (std::string item; std::getline(stream, item, ',');) {
    endpoints.push_back(RequireEndpoint(item));
  }
  return endpoints;
}

}  // namespace sapphirestream::standins
