// Counts moved buckets and the capacity left.
#include "sapphirestream/contract/effect.h"

#include <algorithm>
#include <limits>

#include "sapphirestream/contract/find.h"

namespace sapphirestream {
namespace {

// Tables of different sizes share no bucket, so all of the larger one move.
std::size_t CountMoved(const std::vector<TargetId>& before,
                       const std::vector<TargetId>& after) {
  if (before.size() != after.size()) {
    return std::max(before.size(), after.size());
  }
  std::size_t moved = 0;
  for (std::size_t i = 0; i < before.size(); ++i) {
    if (before[i] != after[i]) ++moved;
  }
  return moved;
}

// Share of a service's flows that are placed by hash, in thousandths. The other
// flows have a record already.
std::uint64_t HashPlacedPermille(const Configuration& configuration,
                                 const Service& service) {
  if (!service.idempotent) return 0;
  const Preset* preset = FindPreset(configuration, configuration.preset);
  return preset != nullptr ? 1000 - preset->load_share_permille : 1000;
}

// The least remainder seen so far.
struct Remainder {
  std::int64_t slots = std::numeric_limits<std::int64_t>::max();
  std::int64_t connections = std::numeric_limits<std::int64_t>::max();
  bool any = false;

  void Add(const Capacity& capacity, const ServiceLoad& load) {
    const auto left = [](std::uint64_t has, std::uint64_t used) {
      return static_cast<std::int64_t>(has) - static_cast<std::int64_t>(used);
    };
    slots = std::min(slots, left(capacity.slots, load.busy_slots));
    connections = std::min(connections,
                           left(capacity.connections, load.open_connections));
    any = true;
  }
};

}  // namespace

ChangeEffect EffectOf(const Configuration& before, const Configuration& after,
                      std::span<const ServiceLoad> loads,
                      const BucketsOf& buckets_of) {
  ChangeEffect effect;
  Remainder affected;
  Remainder all;
  const std::uint32_t share_before = CapacityPermille(before);
  const std::uint32_t share_after = CapacityPermille(after);
  for (const Service& service : after.services) {
    const ServiceLoad load = LoadOf(loads, service.id);
    const Capacity capacity = UsableCapacity(service, share_after);
    all.Add(capacity, load);
    const Service* old = FindService(before, service.id);
    const bool same_targets = old != nullptr && old->targets == service.targets;
    if (!same_targets || share_before != share_after) {
      affected.Add(capacity, load);
    }
    if (old == nullptr || same_targets) continue;
    const std::vector<TargetId> table = buckets_of(*old);
    const std::size_t moved = CountMoved(table, buckets_of(service));
    effect.buckets_moved += moved;
    // The product of flows, buckets and share stays far below 2^64: at most
    // 5e8 flows, 1e6 buckets and 1e3 thousandths are in use.
    if (!table.empty()) {
      effect.flows_recorded += load.open_connections *
                               HashPlacedPermille(before, *old) * moved /
                               table.size() / 1000;
    }
  }
  const Remainder& left = affected.any ? affected : all;
  if (left.any) {
    effect.slots_left = left.slots;
    effect.connections_left = left.connections;
  }
  return effect;
}

boost::json::object ToJson(const ChangeEffect& effect) {
  return {{"buckets_moved", effect.buckets_moved},
          {"flows_recorded", effect.flows_recorded},
          {"slots_left", effect.slots_left},
          {"connections_left", effect.connections_left}};
}

}  // namespace sapphirestream
