// Weighted rendezvous hashing: each target has a score for a flow, and the
// target with the lowest score is preferred. A target is preferred for a share
// of the flows in proportion to its weight, and a change of one weight moves
// only flows to or from its target. All arithmetic is on integers, so that
// every instance computes the same order.
#ifndef SAPPHIRESTREAM_EDGE_RENDEZVOUS_H_
#define SAPPHIRESTREAM_EDGE_RENDEZVOUS_H_

#include <cstdint>

#include "sapphirestream/edge/fwd.h"

namespace sapphirestream {

class RendezvousScore {
 public:
  // Weights are in units of 1 / kWeightUnit of an average target.
  static constexpr std::uint32_t kWeightUnit = 1024;
  // Range of weights; values outside are clamped.
  static constexpr double kMinWeight = 1.0 / 64;
  static constexpr double kMaxWeight = 64;

  RendezvousScore() = default;
  RendezvousScore(std::uint64_t flow_hash, TargetKey target,
                  double weight) noexcept;

  // Whether `a` is preferred. With equal weights, the order is that of the
  // hashes, as in PlaceFlow. Ties are broken by key.
  friend bool operator<(const RendezvousScore& a,
                        const RendezvousScore& b) noexcept;

 private:
  std::uint64_t hash_ = ~std::uint64_t{0};
  // -log2(1 - hash / 2^64), as a fixed-point number.
  std::uint64_t distance_ = 0;
  std::uint32_t weight_ = kWeightUnit;
  TargetKey target_{};
};

namespace internal {

// Number of fractional bits of NegativeLog2.
inline constexpr unsigned kLogFractionBits = 24;

// Returns -log2(1 - hash / 2^64) as a fixed-point number, to within 3e-6.
// Never decreases with `hash`.
[[nodiscard]] std::uint64_t NegativeLog2(std::uint64_t hash) noexcept;

}  // namespace internal
}  // namespace sapphirestream

#endif  // SAPPHIRESTREAM_EDGE_RENDEZVOUS_H_
