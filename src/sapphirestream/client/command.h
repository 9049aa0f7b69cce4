// What a user asked sapphirectl to do.
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
  // Tried in this order; not empty, except for HelpAction.
  std::vector<Endpoint> instances;
  OutputFormat output = OutputFormat::kTable;
  bool dry_run = false;
  // Who asks for a change.
  std::string author{};
  // Of a change; chosen at random if empty.
  std::string id{};
  // How long a change may take until it is in force everywhere; 1 to 600 s.
  std::chrono::seconds timeout{15};
};

// Prints a text: help or version.
struct TextAction {
  std::string text;
};

// Reads a path of the operators' interface.
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
