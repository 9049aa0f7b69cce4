// Chooses the target of a new flow. Answers loads from a few requests a second
// up to peaks in which every slot of a failure domain is taken.
#ifndef SAPPHIRESTREAM_EDGE_EDGE_PLACEMENT_H_
#define SAPPHIRESTREAM_EDGE_EDGE_PLACEMENT_H_

#include <cstdint>
#include <string_view>
#include <vector>

#include "sapphirestream/base/clock.h"
#include "sapphirestream/edge/target_directory.h"

namespace sapphirestream {

// Why a target was chosen, the best reason first.
enum class PlacementTier : std::uint8_t {
  kLocalSlot,   // a free slot in the own failure domain
  kRemoteSlot,  // a free slot elsewhere
  kLocalQueue,  // all slots are taken; the shortest queue
  kRemoteQueue,
  kUnproven,  // only targets that just started or seem not to answer
  kNone,
};

[[nodiscard]] std::string_view Name(PlacementTier tier) noexcept;

struct EdgePlacement {
  EdgeTarget* target = nullptr;
  PlacementTier tier = PlacementTier::kNone;
};

struct PlacementQuery {
  RequestKind kind = RequestKind::kOnce;
  std::uint64_t flow_hash = 0;
  TimePoint now;
  // Not to be chosen.
  TargetKey excluded{};
};

// Requests that a target may queue before flows of other domains' targets are
// preferred to it. An upload occupies no slot while its bytes travel, and its
// bytes are dear between domains.
inline constexpr std::uint32_t kUploadQueue = 4;

// Returns no target if none may get the flow. Among targets that are equally
// good the flow's hash decides, so that instances with the same view send
// copies of an opening packet to the same target.
[[nodiscard]] EdgePlacement PlaceFlow(const std::vector<EdgeTarget*>& targets,
                                      const PlacementQuery& query);

}  // namespace sapphirestream

#endif  // SAPPHIRESTREAM_EDGE_EDGE_PLACEMENT_H_
