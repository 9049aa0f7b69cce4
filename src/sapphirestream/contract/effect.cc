// Counts the moved buckets and the remaining capacity.
#include "sapphirestream/contract/effect.h"

#include <algorithm>
#include <limits>

#include "sapphirestream/contract/find.h"

namespace sapphirestream {
namespace {

// Tables of different sizes have no common buckets, so all buckets of the
// larger one count as moved.
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

// Share of a service's flows that are placed by hash, in thousandths. All other
// flows already have a record.
std::uint64_t HashPlacedPermille(const Configuration& configuration,
                                 const Service& service) {
  if (!service.idempotent) return 0;
  const Preset* preset = FindPreset(configuration, configuration.preset);
  return preset != nullptr ? 1000 - preset->load_share_permille : 1000;
}

// Minimum of the remaining capacity over several services.
struct MinimumRemaining {
  std::int64_t slots = std::numeric_limits<std::int64_t>::max();
  std::int64_t connections = std::numeric_limits<std::int64_t>::max();
  bool has_value = false;

  void Add(const Capacity& capacity, const ServiceLoad& load) {
    const auto remaining = [](std::uint64_t available, std::uint64_t used) {
      return static_cast<std::int64_t>(available) -
             static_cast<std::int64_t>(used);
    };
    slots = std::min(slots, remaining(capacity.slots, load.busy_slots));
    connections = std::min(
        connections, remaining(capacity.connections, load.open_connections));
    has_value = true;
  }
};

}  // namespace

ChangeEffect ComputeEffect(const Configuration& before,
                           const Configuration& after,
                           std::span<const ServiceLoad> loads,
                           const LookupTableFunction& buckets_of) {
  ChangeEffect effect;
  MinimumRemaining affected;
  MinimumRemaining all;
  const std::uint32_t share_before = CapacityPermille(before);
  const std::uint32_t share_after = CapacityPermille(after);
  for (const Service& service : after.services) {
    const ServiceLoad load = FindLoad(loads, service.id);
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
    // The product of flows, buckets and share does not overflow: with at most
    // 5e8 flows, 1e6 buckets and 1e3 thousandths it stays well below 2^64.
    if (!table.empty()) {
      effect.flows_recorded += load.open_connections *
                               HashPlacedPermille(before, *old) * moved /
                               table.size() / 1000;
    }
  }
  const MinimumRemaining& remaining = affected.has_value ? affected : all;
  if (remaining.has_value) {
    effect.slots_left = remaining.slots;
    effect.connections_left = remaining.connections;
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
