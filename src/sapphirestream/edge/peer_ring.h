// Positions of instances on a ring. All instances of a failure domain derive
// the same order from the addresses, so that they agree on who is whose
// neighbor without electing or assigning anything.
#ifndef SAPPHIRESTREAM_EDGE_PEER_RING_H_
#define SAPPHIRESTREAM_EDGE_PEER_RING_H_

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <vector>

#include "sapphirestream/base/hash.h"
#include "sapphirestream/base/random.h"
#include "sapphirestream/edge/v4_endpoint.h"

namespace sapphirestream {

[[nodiscard]] inline std::uint64_t RingPosition(V4Endpoint address) noexcept {
  constexpr std::uint64_t seed = 0x70656572;
  return HashPair(seed, Value(address));
}

// Distance from one address to another in ascending direction.
[[nodiscard]] inline std::uint64_t RingDistance(V4Endpoint from,
                                                V4Endpoint to) noexcept {
  return RingPosition(to) - RingPosition(from);
}

// Reduces `addresses` to at most `limit` of use to `asker`: most of them its
// nearest neighbors in either direction, the others random, so that knowledge
// also spreads across the ring. Erases `asker` itself.
inline void SelectAddressesFor(V4Endpoint asker, std::size_t limit,
                               Random& random,
                               std::vector<V4Endpoint>& addresses) {
  std::erase(addresses, asker);
  if (addresses.size() <= limit) return;
  std::sort(addresses.begin(), addresses.end(),
            [asker](V4Endpoint a, V4Endpoint b) {
              return RingDistance(asker, a) < RingDistance(asker, b);
            });
  // The ring's neighbors are at both ends of the order. A quarter is random.
  const std::size_t after = (limit * 3 + 7) / 8;
  const std::size_t before = limit * 3 / 8;
  std::rotate(addresses.begin(),
              addresses.end() - static_cast<std::ptrdiff_t>(before),
              addresses.end());
  for (std::size_t i = before + after; i < limit; ++i) {
    std::swap(addresses[i], addresses[i + random.Below(addresses.size() - i)]);
  }
  addresses.resize(limit);
}

}  // namespace sapphirestream

#endif  // SAPPHIRESTREAM_EDGE_PEER_RING_H_
