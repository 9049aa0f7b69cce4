// Capacity of a service under the preset in force, and its load.
#ifndef SAPPHIRESTREAM_CONTRACT_CAPACITY_H_
#define SAPPHIRESTREAM_CONTRACT_CAPACITY_H_

#include <cstdint>
#include <span>

#include "sapphirestream/base/id.h"
#include "sapphirestream/contract/configuration.h"

namespace sapphirestream {

// Current load of a service as reported by the instances.
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

// Returns the usable capacity of the targets that take new flows.
// `capacity_permille` is the share of the preset in force.
[[nodiscard]] Capacity UsableCapacity(const Service& service,
                                      std::uint32_t capacity_permille) noexcept;

// Returns the load of a service; zero if it is not in `loads`.
[[nodiscard]] ServiceLoad FindLoad(std::span<const ServiceLoad> loads,
                                   ServiceId id) noexcept;

// Returns the capacity share of the preset in force, or 1,000 if there is none.
[[nodiscard]] std::uint32_t CapacityPermille(
    const Configuration& configuration) noexcept;

}  // namespace sapphirestream

#endif  // SAPPHIRESTREAM_CONTRACT_CAPACITY_H_
