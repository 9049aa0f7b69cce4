// Settings of the edge program. Each one is read from a command line flag
// (`--name`), an environment variable (`SAPPHIRE_EDGE_NAME`) or a line
// `name = value` of the settings file, in this order of precedence.
#ifndef SAPPHIRESTREAM_EDGE_IO_EDGE_SETTINGS_H_
#define SAPPHIRESTREAM_EDGE_IO_EDGE_SETTINGS_H_

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "sapphirestream/base/clock.h"
#include "sapphirestream/base/endpoint.h"
#include "sapphirestream/base/environment.h"
#include "sapphirestream/base/event_log.h"

namespace sapphirestream {

// Rules of the platform that call for a feature of the product.
enum class PlatformRule : std::uint8_t {
  // Health checks of targets may mislead: targets are judged by what their
  // flows show.
  kTargetHealth,
  // Operators evacuate failure domains, and cold targets bear few flows.
  kDomainPlacement,
};

// Returns the name of the rule in the settings.
[[nodiscard]] std::string_view Name(PlatformRule rule) noexcept;

struct EdgeSettings {
  std::string name;
  // Failure domain of this instance.
  std::string domain;
  // UDP address for packets from clients. Resets to clients are sent to the
  // same port.
  Endpoint data;
  // Readiness check of the fabric, which sends packets only to ready instances.
  Endpoint ready;
  // HTTP address for counters and histograms.
  Endpoint metrics;
  // The platform's store.
  Endpoint store;
  // Identity of the store, the same on all instances that read it; empty if its
  // address identifies it.
  std::string store_id;
  // Time between the stop request and the kill of the process.
  std::chrono::milliseconds grace{};
  // Long-poll timeout of a configuration watch.
  std::chrono::milliseconds watch_wait{};
  // Long-poll timeout of a target watch. A shorter one shows earlier that the
  // store is away, so that entries that expire meanwhile are not taken for
  // targets that have left.
  std::chrono::milliseconds cached_wait{};
  // Minimum time between two watches of targets.
  std::chrono::milliseconds target_pause{};
  // Time after which a draining target must get no new flows. The view of the
  // targets is kept younger.
  std::chrono::milliseconds drain_bound{};
  // Minimum time between two watches of the configuration; see
  // ConfigWatchInterval.
  std::chrono::milliseconds config_pause{};
  // Time within which an accepted configuration must take effect. The view of
  // the routes is kept younger.
  std::chrono::milliseconds config_bound{};
  // Names of the platform's rules that are in force; unknown ones are ignored.
  std::vector<std::string> rules;
  // Time after which the targets of an evacuated failure domain must get no new
  // flows; zero if domains are not evacuated. The view of the evacuations is
  // kept younger.
  std::chrono::milliseconds evacuation_bound{};
  // Addresses of some instances; only their IP addresses are used. They may be
  // stale.
  std::vector<Endpoint> seeds;
  // UDP address for messages between instances; the port is the same on all of
  // them. No messages are exchanged if it is not set.
  std::optional<Endpoint> peer;
  // Interval at which targets confirm their entries.
  std::chrono::milliseconds heartbeat{};
  // Shortest time between the end of a target and the start of another one at
  // its address; zero if it is not known.
  std::chrono::milliseconds address_reuse{};
  std::size_t flow_capacity = 0;
  // Maximum number of log lines per event in 10 s; further lines are only
  // counted.
  std::uint32_t log_lines = 0;
  LogLevel log_level = LogLevel::kInfo;

  [[nodiscard]] bool IsInForce(PlatformRule rule) const;
  // Whether the evacuation of failure domains and the limit on cold targets
  // apply.
  [[nodiscard]] bool EvacuatesDomains() const {
    return IsInForce(PlatformRule::kDomainPlacement) &&
           evacuation_bound > std::chrono::milliseconds::zero();
  }

  [[nodiscard]] std::string StoreIdentity() const {
    return store_id.empty() ? ToString(store) : store_id;
  }

  bool operator==(const EdgeSettings&) const = default;
};

// Returns the minimum time between the starts of two configuration watches. It
// grows with the bound on a change, so that configurations in quick succession
// cost fewer calls where more time is allowed.
[[nodiscard]] std::chrono::milliseconds ConfigWatchInterval(
    const EdgeSettings& settings) noexcept;

enum class EdgeStartMode : std::uint8_t { kRun, kCheck, kHelp, kVersion };

struct ParsedEdgeSettings {
  EdgeStartMode mode = EdgeStartMode::kRun;
  EdgeSettings settings;
  // One line per invalid setting: name, value, valid range and unit.
  std::vector<std::string> errors;
};

// `file` is the content of the settings file; empty if there is none.
[[nodiscard]] ParsedEdgeSettings ParseEdgeSettings(
    const std::vector<std::string>& arguments, const Environment& environment,
    const std::string& file);

// Returns the text of --help.
[[nodiscard]] std::string EdgeSettingsHelp();

}  // namespace sapphirestream

#endif  // SAPPHIRESTREAM_EDGE_IO_EDGE_SETTINGS_H_
