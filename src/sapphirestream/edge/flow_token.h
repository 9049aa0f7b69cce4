// Tokens of targets. Instances that know the same target compute the same
// tokens, so that each of them can carry each flow without shared state.
#ifndef SAPPHIRESTREAM_EDGE_FLOW_TOKEN_H_
#define SAPPHIRESTREAM_EDGE_FLOW_TOKEN_H_

#include <cstdint>

#include "sapphirestream/base/hash.h"
#include "sapphirestream/base/id.h"
#include "sapphirestream/edge/fwd.h"

namespace sapphirestream {

inline constexpr FlowToken kNoToken{0};

// Each target has two tokens. With 120,000 targets about two pairs share a
// first token (32 bits); such a target uses its second one.
inline constexpr unsigned kTokensPerTarget = 2;

// Values are part of the protocol between releases. `variant` is below
// kTokensPerTarget. The key alone decides, so that packets of flows that a
// restarted target has lost still reach it and are answered with its reset.
[[nodiscard]] constexpr FlowToken MakeToken(TargetKey key,
                                            unsigned variant) noexcept {
  constexpr std::uint64_t salt = 0x73617070746f6b65ULL;
  const auto token =
      static_cast<std::uint32_t>(HashPair(Value(key), salt + variant) >> 32U);
  return FlowToken{token == 0 ? 1 : token};
}

}  // namespace sapphirestream

#endif  // SAPPHIRESTREAM_EDGE_FLOW_TOKEN_H_
