// Sums of the capacity over the targets of a service.
#include "sapphirestream/contract/capacity.h"

#include <algorithm>

#include "sapphirestream/contract/find.h"

namespace sapphirestream {

Capacity UsableCapacity(const Service& service,
                        std::uint32_t capacity_permille) noexcept {
  Capacity out;
  for (const Target& target : service.targets) {
    if (target.drained != ConfigVersion{}) continue;
    out.slots += target.slots;
    out.connections += target.max_connections;
  }
  out.slots = out.slots * capacity_permille / 1000;
  out.connections = out.connections * capacity_permille / 1000;
  return out;
}

ServiceLoad FindLoad(std::span<const ServiceLoad> loads,
                     ServiceId id) noexcept {
  const auto it =
      std::find_if(loads.begin(), loads.end(),
                   [&](const ServiceLoad& load) { return load.service == id; });
  return it != loads.end() ? *it : ServiceLoad{id, 0, 0};
}

std::uint32_t CapacityPermille(const Configuration& configuration) noexcept {
  const Preset* preset = FindPreset(configuration, configuration.preset);
  return preset != nullptr ? preset->capacity_permille : 1000;
}

}  // namespace sapphirestream
