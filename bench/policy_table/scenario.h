// One row of the policy table: a site, a policy and an event.
#ifndef SAPPHIRESTREAM_BENCH_POLICY_TABLE_SCENARIO_H_
#define SAPPHIRESTREAM_BENCH_POLICY_TABLE_SCENARIO_H_

#include <array>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <string_view>

#include "bench/fleet/baseline.h"
#include "bench/fleet/traffic.h"

namespace sapphirestream::fleet {

enum class Event : std::uint8_t {
  kNone,
  kAddTarget,
  kDrainTarget,
  kSwitchPreset,
  kInstanceLeaves,
  kInstanceJoins,
  kTargetAndInstance,
  kUnevenUpdates,
  kUnevenUpdatesUnprepared,
  kInstanceDies,
  kTwoInstancesDie,
  kDomainCut,
  kInstancePaused,
  kFabricLags,
  kLoss2,
  kLoss10,
  kOldReports,
  kDeadTarget,
};

inline constexpr std::array<std::string_view, 18> kEventNames{
    "steady, 80% load",
    "add a target",
    "drain a target",
    "switch the preset",
    "an instance leaves",
    "an instance joins",
    "drain, leave and join at once",
    "drain, updates 0-5 s apart",
    "the same, not prepared first",
    "an instance dies",
    "two instances die",
    "a domain cut off 10 min, healed",
    "an instance paused 6 s",
    "dies, fabric lags 10 s",
    "2% loss between instances",
    "10% loss between instances",
    "load reports 5 s old",
    "dead target reports zero load",
};

struct Scenario {
  std::string_view site;
  Event event = Event::kNone;
  // Not set for the product.
  std::optional<Policy> policy;
  std::size_t instances = 8;
  // Share of the slots of the order service that requests occupy on average.
  double load = 0.8;
  std::uint32_t load_share_permille = 20;
  Duration delay_between = std::chrono::milliseconds(5);
  Duration client_delay = std::chrono::milliseconds(3);
  std::size_t connections_per_target = 2000;
  double short_flows_per_second = 200;
  std::uint64_t seed = 1;
};

struct Outcome {
  TrafficResult traffic;
  double open_imbalance = 0;
  double busy_imbalance = 0;
  std::size_t records = 0;
  // Mean over the instances.
  double control_bytes_per_second = 0;
};

// Runs a scenario in virtual time; the outcome depends on the scenario only.
[[nodiscard]] Outcome RunScenario(const Scenario& scenario);

}  // namespace sapphirestream::fleet

#endif  // SAPPHIRESTREAM_BENCH_POLICY_TABLE_SCENARIO_H_
