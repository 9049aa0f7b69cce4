// Selects the target of a new flow. Handles loads from a few requests per
// second up to peaks that occupy all slots of a failure domain.
#ifndef SAPPHIRESTREAM_EDGE_EDGE_PLACEMENT_H_
#define SAPPHIRESTREAM_EDGE_EDGE_PLACEMENT_H_

#include <cstdint>
#include <optional>
#include <string_view>
#include <vector>

#include "sapphirestream/base/clock.h"
#include "sapphirestream/edge/target_directory.h"

namespace sapphirestream {

// Preference class of a target, best first.
enum class PlacementTier : std::uint8_t {
  kLocalSlot,   // free slot in this instance's failure domain
  kRemoteSlot,  // free slot in another failure domain
  kLocalQueue,  // no free slot; the shortest queue is preferred
  kRemoteQueue,
  kUnproven,  // newly listed, not responding to flows, or another target claims
              // its address
  kNone,
};

[[nodiscard]] std::string_view Name(PlacementTier tier) noexcept;

struct EdgePlacement {
  EdgeTarget* target = nullptr;
  PlacementTier tier = PlacementTier::kNone;
};

struct PlacementQuery {
  RequestKind kind = RequestKind::kNonIdempotent;
  std::uint64_t flow_hash = 0;
  TimePoint now;
  // Target that must not be selected.
  TargetKey excluded{};
  // Whether cold targets must not be selected; see docs/design/cold-targets.md.
  bool exclude_cold = false;
  // Whether targets of evacuated domains may be selected.
  bool allow_evacuated = false;
  RouteObjective objective{};
};

// Uploads that a local target may hold beyond its slots before targets in other
// failure domains are preferred. An upload occupies no slot while its data is
// in transit, and traffic between failure domains is expensive.
inline constexpr std::uint32_t kUploadQueueAllowance = 4;

// Returns a null target if no target is eligible. Ties are broken by the flow's
// hash, so that instances with the same view send retransmissions of an opening
// packet to the same target.
[[nodiscard]] EdgePlacement PlaceFlow(const std::vector<EdgeTarget*>& targets,
                                      const PlacementQuery& query);

// Returns the preference class of a target; kNone if it must not be selected.
[[nodiscard]] PlacementTier TierOf(const EdgeTarget& target,
                                   const PlacementQuery& query);

// Returns the number of outstanding requests below which a target counts as
// free.
[[nodiscard]] std::uint32_t SlotLimit(const EdgeTarget& target,
                                      const PlacementQuery& query);

// Returns when the first target that is excluded only because it is cold can be
// selected, or nothing if there is no such target.
[[nodiscard]] std::optional<TimePoint> NextWarm(
    const std::vector<EdgeTarget*>& targets, PlacementQuery query);

}  // namespace sapphirestream

#endif  // SAPPHIRESTREAM_EDGE_EDGE_PLACEMENT_H_
