// Selects shares of the flows by hash: those whose position is below a limit.
// All instances select the same flows, and a larger share includes a smaller
// one.
#ifndef SAPPHIRESTREAM_EDGE_FLOW_SHARE_H_
#define SAPPHIRESTREAM_EDGE_FLOW_SHARE_H_

#include <cstdint>

#include "sapphirestream/base/hash.h"

namespace sapphirestream {

// Purposes for which flows are selected independently. The values are the names
// in ASCII; they must be the same on all instances.
enum class FlowShare : std::uint64_t {
  kSpill = 0x7370696c6c,
  kPeerCounts = 0x7065657273,
  kAdmission = 0x61646d6974,
};

// Returns the position of a flow among all flows, from 0 to 2^32 - 1.
[[nodiscard]] constexpr std::uint32_t FlowPosition(std::uint64_t flow_hash,
                                                   FlowShare purpose) noexcept {
  return static_cast<std::uint32_t>(
      HashPair(flow_hash, static_cast<std::uint64_t>(purpose)) >> 32U);
}

}  // namespace sapphirestream

#endif  // SAPPHIRESTREAM_EDGE_FLOW_SHARE_H_
