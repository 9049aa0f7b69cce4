// A target as operators configure it.
#ifndef SAPPHIRESTREAM_CONTRACT_TARGET_H_
#define SAPPHIRESTREAM_CONTRACT_TARGET_H_

#include <chrono>
#include <cstdint>

#include "sapphirestream/base/clock.h"
#include "sapphirestream/base/endpoint.h"
#include "sapphirestream/base/id.h"

namespace sapphirestream {

struct Target {
  // Never reused, see TargetId.
  TargetId id = kNoTarget;
  // Where the target's Geneve tunnel device listens.
  Endpoint tunnel;
  DomainId domain{};
  // Requests that the target serves at the same time; 1 to 10,000.
  std::uint32_t slots = 2;
  // Open flows that the target carries at most; 1 to 1,000,000.
  std::uint32_t max_connections = 2000;
  // Share of hash-placed flows relative to other targets; 1 to 1,000.
  std::uint32_t weight = 100;
  // Version that added the target, and when it was accepted.
  ConfigVersion added{};
  WallTime added_at;
  // Version that took the target out of the lookup table, zero if none did. A
  // drained target keeps its flows and gets no new ones.
  ConfigVersion drained{};
  WallTime drained_at;
  // A removed target is hidden from operators, but stays here until
  // kMaxFlowLifetime after it was drained: from the targets and their versions
  // every instance, a restarted one too, derives the former lookup tables.
  bool removed = false;

  // Whether the target was in the lookup table of a version.
  [[nodiscard]] bool IsInTableOf(ConfigVersion version) const noexcept {
    return added <= version &&
           (drained == ConfigVersion{} || drained > version);
  }

  bool operator==(const Target&) const = default;
};

// Flows that live longer may break after a change; covers a shift and a
// concert.
inline constexpr std::chrono::hours kMaxFlowLifetime{24};

}  // namespace sapphirestream

#endif  // SAPPHIRESTREAM_CONTRACT_TARGET_H_
