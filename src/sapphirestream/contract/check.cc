// Comparison of the capacity before and after a change with the load.
#include "sapphirestream/contract/check.h"

#include <algorithm>
#include <string>

#include "sapphirestream/contract/find.h"

namespace sapphirestream {
namespace {

// An error message names at most this many services.
constexpr std::size_t kMaxNamedServices = 5;

bool IsTooSmall(const Capacity& before, const Capacity& after,
                const ServiceLoad& load) {
  return (after.slots < before.slots && after.slots < load.busy_slots) ||
         (after.connections < before.connections &&
          after.connections < load.open_connections);
}

std::string Figures(const Service& service, const Capacity& before,
                    const Capacity& after, const ServiceLoad& load) {
  return service.name + ": slots " + std::to_string(before.slots) + " -> " +
         std::to_string(after.slots) + " with " +
         std::to_string(load.busy_slots) + " busy, connections " +
         std::to_string(before.connections) + " -> " +
         std::to_string(after.connections) + " with " +
         std::to_string(load.open_connections) + " open";
}

}  // namespace

leaf::result<void> CheckAnnounced(const Configuration& before,
                                  const Configuration& after,
                                  std::span<const ServiceLoad> loads,
                                  WallTime now) {
  const std::uint32_t share_before = CapacityPermille(before);
  const std::uint32_t share_after = CapacityPermille(after);
  for (const Service& service : before.services) {
    const auto open = LoadOf(loads, service.id).open_connections;
    if (open != 0 && FindService(after, service.id) == nullptr) {
      return MakeError(ErrorKind::kCapacityExceeded,
                       service.name + ": " + std::to_string(open) +
                           " open connections would be cut");
    }
  }
  std::string detail;
  std::size_t failed = 0;
  for (const Service& service : after.services) {
    const Service* old = FindService(before, service.id);
    if (old == nullptr) continue;
    const Capacity had = UsableCapacity(*old, share_before);
    const Capacity has = UsableCapacity(service, share_after);
    const ServiceLoad load = LoadOf(loads, service.id);
    if (share_after >= share_before && !IsTooSmall(had, has, load)) continue;
    if (IsAnnounced(before, service.id, now) &&
        IsAnnounced(after, service.id, now)) {
      continue;
    }
    if (++failed > kMaxNamedServices) continue;
    if (!detail.empty()) detail += "; ";
    detail += Figures(service, had, has, load);
  }
  if (failed == 0) return {};
  if (share_after < share_before) {
    detail = "preset lowers capacity_permille " + std::to_string(share_before) +
             " -> " + std::to_string(share_after) + "; " + detail;
  }
  if (failed > kMaxNamedServices) {
    detail += "; and " + std::to_string(failed - kMaxNamedServices) + " more";
  }
  return MakeError(ErrorKind::kNotAnnounced, detail);
}

}  // namespace sapphirestream
