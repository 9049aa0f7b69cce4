// Compares the capacity before and after a change with the load.
#include "sapphirestream/contract/check.h"

#include <algorithm>
#include <string>

#include "sapphirestream/contract/find.h"

namespace sapphirestream {
namespace {

// Maximum number of services listed in an error message.
constexpr std::size_t kMaxNamedServices = 5;

bool IsTooSmall(const Capacity& before, const Capacity& after,
                const ServiceLoad& load) {
  return (after.slots < before.slots && after.slots < load.busy_slots) ||
         (after.connections < before.connections &&
          after.connections < load.open_connections);
}

std::string DescribeCapacityChange(const Service& service,
                                   const Capacity& before,
                                   const Capacity& after,
                                   const ServiceLoad& load) {
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
  const std::uint32_t old_share = CapacityPermille(before);
  const std::uint32_t new_share = CapacityPermille(after);
  for (const Service& service : before.services) {
    const auto open = FindLoad(loads, service.id).open_connections;
    if (open != 0 && FindService(after, service.id) == nullptr) {
      return MakeError(ErrorKind::kCapacityExceeded,
                       service.name + ": " + std::to_string(open) +
                           " open connections would be cut");
    }
  }
  std::string detail;
  std::size_t failed = 0;
  for (const Service& service : after.services) {
    const Service* old_service = FindService(before, service.id);
    if (old_service == nullptr) continue;
    const Capacity former = UsableCapacity(*old_service, old_share);
    const Capacity current = UsableCapacity(service, new_share);
    const ServiceLoad load = FindLoad(loads, service.id);
    if (new_share >= old_share && !IsTooSmall(former, current, load)) continue;
    if (IsAnnounced(before, service.id, now) &&
        IsAnnounced(after, service.id, now)) {
      continue;
    }
    if (++failed > kMaxNamedServices) continue;
    if (!detail.empty()) detail += "; ";
    detail += DescribeCapacityChange(service, former, current, load);
  }
  if (failed == 0) return {};
  if (new_share < old_share) {
    detail = "preset lowers capacity_permille " + std::to_string(old_share) +
             " -> " + std::to_string(new_share) + "; " + detail;
  }
  if (failed > kMaxNamedServices) {
    detail += "; and " + std::to_string(failed - kMaxNamedServices) + " more";
  }
  return MakeError(ErrorKind::kNotAnnounced, detail);
}

}  // namespace sapphirestream
