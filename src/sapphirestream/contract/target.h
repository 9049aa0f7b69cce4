// A target as configured by operators.
#ifndef SAPPHIRESTREAM_CONTRACT_TARGET_H_
#define SAPPHIRESTREAM_CONTRACT_TARGET_H_

#include <chrono>
#include <cstdint>

#include "sapphirestream/base/clock.h"
#include "sapphirestream/base/endpoint.h"
#include "sapphirestream/base/id.h"

namespace sapphirestream {

struct Target {
  // Never reused; see TargetId.
  TargetId id = kNoTarget;
  // Endpoint of the Geneve tunnel device of the target.
  Endpoint tunnel;
  DomainId domain{};
  // Number of requests that the target serves concurrently; 1 to 10,000.
  std::uint32_t slots = 2;
  // Maximum number of open flows; 1 to 1,000,000.
  std::uint32_t max_connections = 2000;
  // Share of hash-placed flows relative to other targets; 1 to 1,000.
  std::uint32_t weight = 100;
  // Version that added the target, and the time of its acceptance.
  ConfigVersion added{};
  WallTime added_at;
  // Version that removed the target from the lookup table; zero if it is in the
  // table. A drained target keeps its flows and receives no new ones.
  ConfigVersion drained{};
  WallTime drained_at;
  // A removed target is hidden from operators but kept until kMaxFlowLifetime
  // after it was drained, because every instance, including a restarted one,
  // derives the former lookup tables from the targets and their versions.
  bool removed = false;

  // Returns whether the target was in the lookup table of a version.
  [[nodiscard]] bool IsInTableOf(ConfigVersion version) const noexcept {
    return added <= version &&
           (drained == ConfigVersion{} || drained > version);
  }

  bool operator==(const Target&) const = default;
};

// Flows that exceed this lifetime may break after a change. Long enough for a
// work shift or a concert.
inline constexpr std::chrono::hours kMaxFlowLifetime{24};

}  // namespace sapphirestream

#endif  // SAPPHIRESTREAM_CONTRACT_TARGET_H_
