// A target as operators configure it.
#ifndef SAPPHIRESTREAM_CONTRACT_TARGET_H_
#define SAPPHIRESTREAM_CONTRACT_TARGET_H_

#include <cstdint>

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
  // A draining target keeps its flows and gets no new ones.
  bool draining = false;

  bool operator==(const Target&) const = default;
};

}  // namespace sapphirestream

#endif  // SAPPHIRESTREAM_CONTRACT_TARGET_H_
