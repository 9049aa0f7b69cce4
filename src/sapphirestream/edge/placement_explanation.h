// Tells operators where a new flow would go now and why it would not go to the
// other targets. Changes nothing and sends nothing.
#ifndef SAPPHIRESTREAM_EDGE_PLACEMENT_EXPLANATION_H_
#define SAPPHIRESTREAM_EDGE_PLACEMENT_EXPLANATION_H_

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "sapphirestream/base/clock.h"
#include "sapphirestream/base/error.h"
#include "sapphirestream/edge/admission_control.h"
#include "sapphirestream/edge/edge_placement.h"
#include "sapphirestream/edge/route_table.h"
#include "sapphirestream/edge/target_directory.h"
#include "sapphirestream/edge/target_estimate.h"
#include "sapphirestream/edge/target_selector.h"

namespace sapphirestream {

// Why a target is not selected. The first six exclude it altogether.
enum class SelectionOutcome : std::uint8_t {
  kGone,         // not listed any more
  kContested,    // another target has its address, or may have it
  kDraining,     // gets no new flows
  kEvacuated,    // its failure domain is evacuated
  kUnreachable,  // probes found no target there
  kCold,         // started recently
  kUnproven,     // newly listed, or not responding to flows
  kQueue,        // has no free slot, the selected one has
  kOtherDomain,  // in another failure domain, the selected one is not
  kLowerRank,    // of the same class as the selected one
  kSelected,
};

[[nodiscard]] std::string_view Name(SelectionOutcome outcome) noexcept;

struct ExplainedTarget {
  TargetKey key{};
  std::string domain;
  bool is_local = false;
  SelectionOutcome outcome = SelectionOutcome::kLowerRank;
  PlacementTier tier = PlacementTier::kNone;
  // Position in the order in which targets would be selected, from 1, if all
  // before were missing; nothing if unknown, or if the target is excluded.
  std::optional<std::size_t> rank;
  std::uint32_t slots = 0;
  // Requests of this instance in progress.
  std::uint32_t own_outstanding = 0;
  // Neutral if performance is not learned.
  TargetEstimate estimate;
  // Remaining time for which the target is cold; zero if it is not.
  Duration cold_for{};
};

struct PlacementExplanation {
  V4Endpoint client;
  V4Endpoint route;
  std::string service;
  std::uint64_t flow_hash = 0;
  RouteObjective objective;
  AdmissionVerdict admission = AdmissionVerdict::kAdmit;
  // Whether the selected target is in an evacuated domain and is used only
  // because all other domains seem to be cut off.
  bool is_last_resort = false;
  // Whether the order is known; if not, no target is marked as selected.
  bool is_order_known = true;
  // Ranked targets first, in their order.
  std::vector<ExplainedTarget> targets;
};

// What a decision is based on.
struct PlacementView {
  const RouteTable& routes;
  const TargetDirectory& targets;
  const TargetSelector& selector;
  // Null if performance is not learned.
  const PerformanceSource* performance = nullptr;
  // Null if all flows are admitted.
  const AdmissionControl* admission = nullptr;
  ViewGaps gaps{};
};

struct ExplanationQuery {
  V4Endpoint client;
  V4Endpoint route;
};

// Number of targets whose rank is determined.
inline constexpr std::size_t kMaxRanked = 32;

// Parses two IPv4 addresses with ports. Fails with kWrongType if one is
// malformed.
[[nodiscard]] leaf::result<ExplanationQuery> ParseExplanationQuery(
    std::string_view client, std::string_view route);
// Fails with kNotFound if no such route is configured.
[[nodiscard]] leaf::result<PlacementExplanation> ExplainPlacement(
    const PlacementView& view, const ExplanationQuery& query, TimePoint now);
// One line for the decision and one for each target, as key=value pairs.
[[nodiscard]] std::string ToText(const PlacementExplanation& explanation);

}  // namespace sapphirestream

#endif  // SAPPHIRESTREAM_EDGE_PLACEMENT_EXPLANATION_H_
