// Tokens that identify targets. Instances that know a target compute the same
// tokens for it, so any instance can forward any flow without shared state.
#ifndef SAPPHIRESTREAM_EDGE_FLOW_TOKEN_H_
#define SAPPHIRESTREAM_EDGE_FLOW_TOKEN_H_

#include <cstdint>

#include "sapphirestream/base/hash.h"
#include "sapphirestream/base/id.h"
#include "sapphirestream/edge/fwd.h"

namespace sapphirestream {

inline constexpr FlowToken kNoToken{0};

// Each target has two tokens. With 120,000 targets, about two pairs collide in
// their first token (32 bits); colliding targets use their second one.
inline constexpr unsigned kTokensPerTarget = 2;

// The values must not change between releases. `variant` must be below
// kTokensPerTarget. Tokens depend only on the key, not on the incarnation, so
// that packets of flows that a target lost in a restart still reach the target,
// which resets them.
[[nodiscard]] constexpr FlowToken MakeToken(TargetKey key,
                                            unsigned variant) noexcept {
  constexpr std::uint64_t salt = 0x73617070746f6b65ULL;
  const auto token =
      static_cast<std::uint32_t>(HashPair(Value(key), salt + variant) >> 32U);
  return FlowToken{token == 0 ? 1 : token};
}

}  // namespace sapphirestream

#endif  // SAPPHIRESTREAM_EDGE_FLOW_TOKEN_H_
