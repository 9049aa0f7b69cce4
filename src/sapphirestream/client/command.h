// Parsed command line of sapphirectl.
#ifndef SAPPHIRESTREAM_CLIENT_COMMAND_H_
#define SAPPHIRESTREAM_CLIENT_COMMAND_H_

#include <boost/json/object.hpp>
#include <chrono>
#include <cstdint>
#include <string>
#include <variant>
#include <vector>

#include "sapphirestream/base/endpoint.h"

namespace sapphirestream {

enum class OutputFormat : std::uint8_t { kTable, kJson };

struct ClientOptions {
  // Tried in this order. Empty only for a TextAction.
  std::vector<Endpoint> instances;
  OutputFormat output = OutputFormat::kTable;
  bool dry_run = false;
  // Author of a change.
  std::string author{};
  // Id of a change; random if empty.
  std::string id{};
  // Time limit for a change to become active on all instances; 1 to 600 s.
  std::chrono::seconds timeout{15};
};

// Prints the help or version text.
struct TextAction {
  std::string text;
};

// Reads a path of the operator API.
struct ReadAction {
  std::string path;
};

// Submits one operation.
struct ChangeAction {
  boost::json::object operation;
};

struct Command {
  ClientOptions options;
  std::variant<TextAction, ReadAction, ChangeAction> action;
};

}  // namespace sapphirestream

#endif  // SAPPHIRESTREAM_CLIENT_COMMAND_H_
