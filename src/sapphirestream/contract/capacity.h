// Slots and connections of a service under the preset in force.
#ifndef SAPPHIRESTREAM_CONTRACT_CAPACITY_H_
#define SAPPHIRESTREAM_CONTRACT_CAPACITY_H_

#include <cstdint>
#include <span>

#include "sapphirestream/base/id.h"
#include "sapphirestream/contract/configuration.h"

namespace sapphirestream {

// Load that instances now see on a service.
struct ServiceLoad {
  ServiceId service{};
  std::uint64_t busy_slots = 0;
  std::uint64_t open_connections = 0;

  bool operator==(const ServiceLoad&) const = default;
};

struct Capacity {
  std::uint64_t slots = 0;
  std::uint64_t connections = 0;

  bool operator==(const Capacity&) const = default;
};

// Returns what the targets that take new flows may use. `capacity_permille` is
// the share of the preset in force.
[[nodiscard]] Capacity UsableCapacity(const Service& service,
                                      std::uint32_t capacity_permille) noexcept;

// Returns the load of a service; zero if `loads` does not have it.
[[nodiscard]] ServiceLoad LoadOf(std::span<const ServiceLoad> loads,
                                 ServiceId id) noexcept;

// Returns the share of the preset in force, or 1,000 if there is none.
[[nodiscard]] std::uint32_t CapacityPermille(
    const Configuration& configuration) noexcept;

}  // namespace sapphirestream

#endif  // SAPPHIRESTREAM_CONTRACT_CAPACITY_H_
