// Default bucket assigner: rendezvous hashing with a bound on the share of each
// target.
#ifndef SAPPHIRESTREAM_TARGET_BOUNDED_RENDEZVOUS_H_
#define SAPPHIRESTREAM_TARGET_BOUNDED_RENDEZVOUS_H_

#include "sapphirestream/target/bucket_assigner.h"

namespace sapphirestream::internal {

// Each target proposes itself for hashed positions, in rounds and in proportion
// to its weight. A position goes to the first target below its bound that
// proposes for it; within a round the highest hash wins. Proposals depend only
// on the id of the target, so adding or removing a target changes the owner of
// few positions.
//
// The table grows by linear hashing: each additional target splits
// kBucketsPerTarget units of two buckets into units of one. Doubling the whole
// table at once would move half of all buckets.
class BoundedRendezvous final : public BucketAssigner {
 public:
  // Allowed excess over the fair share of a target, in thousandths. With zero,
  // changing the share of one target would affect all others.
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
