// The construction in use: rendezvous hashing with a bound on each target's
// share.
#ifndef SAPPHIRESTREAM_TARGET_BOUNDED_RENDEZVOUS_H_
#define SAPPHIRESTREAM_TARGET_BOUNDED_RENDEZVOUS_H_

#include "sapphirestream/target/bucket_assigner.h"

namespace sapphirestream::internal {

// Each target bids for hashed positions, in rounds and as often as its weight
// says. A position goes to the first bidder that is below its bound; within a
// round the higher hash wins. A bid depends on the target's id only, so adding
// or removing a target changes the winner of few positions.
//
// The table grows by linear hashing: one target more splits kBucketsPerTarget
// units of two buckets into units of one. A table whose size doubled at once
// would move half of all buckets.
class BoundedRendezvous final : public BucketAssigner {
 public:
  // Room above a target's fair share, in thousandths. With no room, a change of
  // one target's share passes through all others.
  static constexpr std::uint32_t kDefaultSlackPermille = 50;

  explicit BoundedRendezvous(
      std::uint32_t slack_permille = kDefaultSlackPermille)
      : slack_permille_(slack_permille) {}

  [[nodiscard]] std::vector<std::uint16_t> Assign(
      std::span<const WeightedTarget> targets) const override;

 private:
  std::uint32_t slack_permille_;
};

}  // namespace sapphirestream::internal

#endif  // SAPPHIRESTREAM_TARGET_BOUNDED_RENDEZVOUS_H_
