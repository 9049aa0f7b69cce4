// Settings of an instance: flags (`--name`) and environment variables
// (`SAPPHIRED_NAME`). A flag takes precedence over the variable.
#ifndef SAPPHIRESTREAM_INSTANCE_SETTINGS_H_
#define SAPPHIRESTREAM_INSTANCE_SETTINGS_H_

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "sapphirestream/base/endpoint.h"
#include "sapphirestream/base/environment.h"
#include "sapphirestream/base/event_log.h"
#include "sapphirestream/base/id.h"
#include "sapphirestream/link/peer_datagram.h"

namespace sapphirestream {

// An instance named in the settings; used to join while the platform's list
// cannot be read.
struct KnownPeer {
  InstanceId id = kNoInstance;
  DomainId domain{};
  Endpoint endpoint;

  bool operator==(const KnownPeer&) const = default;
};

struct Settings {
  InstanceId instance_id = kNoInstance;
  DomainId domain{};
  // Listen endpoint for packets from the fabric.
  Endpoint data;
  // Listen endpoint for peer datagrams.
  Endpoint peer;
  // Listen endpoint of the operator API.
  Endpoint http;
  // Listen endpoint for load reports of targets.
  Endpoint report;
  // Destination of encapsulated answers to clients; the fabric delivers them.
  Endpoint return_path;
  // Endpoint of the platform's object API.
  Endpoint object_api;
  std::vector<KnownPeer> peers;
  PeerKey peer_key{};
  std::uint32_t traffic_threads = 1;
  // Maximum number of learned flows per traffic thread.
  std::size_t learned_capacity = 0;
  // Maximum number of flow records, as owner and replica together.
  std::size_t record_capacity = 0;
  // Maximum number of held first packets.
  std::size_t hold_capacity = 0;
  std::chrono::seconds idle_timeout{};
  // How long packets are forwarded after a stop was requested.
  std::chrono::seconds drain_time{};
  LogLevel log_level = LogLevel::kInfo;
};

// Action that the command line selects.
enum class StartMode : std::uint8_t { kRun, kCheck, kHelp, kVersion };

struct ParsedSettings {
  StartMode mode = StartMode::kRun;
  Settings settings;
  // One line per invalid setting, with its name, value, range and unit. Empty
  // if the settings are valid.
  std::vector<std::string> errors;
};

// Parses the arguments after the program name. Reports all errors, not only the
// first.
[[nodiscard]] ParsedSettings ParseSettings(
    const std::vector<std::string>& arguments, const Environment& environment);

// Returns the text of --help.
[[nodiscard]] std::string SettingsHelp();

}  // namespace sapphirestream

#endif  // SAPPHIRESTREAM_INSTANCE_SETTINGS_H_
