#include "sapphirestream/edge/edge_placement.h"

#include <algorithm>
#include <array>
#include <cstddef>
#include <tuple>

#include "sapphirestream/base/hash.h"
#include "sapphirestream/base/id.h"
#include "sapphirestream/edge/target_slots.h"

namespace sapphirestream {
namespace {

// Requests beyond the slots; 0 for all targets with a free slot.
std::uint32_t QueueLength(const EdgeTarget& target) {
  const std::uint32_t slots = SlotsOf(target);
  return target.outstanding < slots ? 0 : target.outstanding - slots + 1;
}

}  // namespace

std::string_view Name(PlacementTier tier) noexcept {
  constexpr std::array<std::string_view, 6> names{"local_slot",  "remote_slot",
                                                  "local_queue", "remote_queue",
                                                  "unproven",    "none"};
  return names[static_cast<std::size_t>(tier)];
}

std::uint32_t SlotLimit(const EdgeTarget& target, const PlacementQuery& query) {
  const std::uint32_t slots = SlotsOf(target);
  // A cold target handles about half of its usual load.
  if (query.now < target.cold_until) return std::max(1U, slots / 2);
  return slots +
         (query.kind == RequestKind::kUpload ? kUploadQueueAllowance : 0);
}

PlacementTier TierOf(const EdgeTarget& target, const PlacementQuery& query) {
  if (target.presence == TargetPresence::kGone || target.record.draining ||
      target.record.key == query.excluded) {
    return PlacementTier::kNone;
  }
  if (target.evacuated && !query.allow_evacuated) return PlacementTier::kNone;
  if (target.health.state() == Reachability::kUnreachable) {
    return PlacementTier::kNone;
  }
  if (query.exclude_cold && query.now < target.cold_until) {
    return PlacementTier::kNone;
  }
  // Another target claims its address, and no answer has told them apart.
  const bool is_in_doubt =
      target.claim_status != ClaimStatus::kHeld ||
      (target.is_contested && target.claim.seen == TimePoint{});
  if (is_in_doubt || query.now < target.usable_from ||
      query.now < target.cut_off_until ||
      !target.health.AcceptsNewFlows(query.now)) {
    return PlacementTier::kUnproven;
  }
  if (target.outstanding < SlotLimit(target, query)) {
    return target.is_local ? PlacementTier::kLocalSlot
                           : PlacementTier::kRemoteSlot;
  }
  return target.is_local ? PlacementTier::kLocalQueue
                         : PlacementTier::kRemoteQueue;
}

std::optional<TimePoint> NextWarm(const std::vector<EdgeTarget*>& targets,
                                  PlacementQuery query) {
  query.exclude_cold = false;
  std::optional<TimePoint> next;
  for (const EdgeTarget* const target : targets) {
    if (query.now >= target->cold_until ||
        TierOf(*target, query) == PlacementTier::kNone) {
      continue;
    }
    if (!next || target->cold_until < *next) next = target->cold_until;
  }
  return next;
}

EdgePlacement PlaceFlow(const std::vector<EdgeTarget*>& targets,
                        const PlacementQuery& query) {
  using Rank = std::tuple<PlacementTier, std::uint32_t, std::uint64_t>;
  EdgePlacement best;
  Rank best_rank{PlacementTier::kNone, 0, 0};
  for (EdgeTarget* const target : targets) {
    const PlacementTier tier = TierOf(*target, query);
    if (tier == PlacementTier::kNone) continue;
    const Rank rank{tier, QueueLength(*target),
                    HashPair(query.flow_hash, Value(target->record.key))};
    if (best.target == nullptr || rank < best_rank) {
      best = {target, tier};
      best_rank = rank;
    }
  }
  return best;
}

}  // namespace sapphirestream
