// The interface of the constructions that fill a lookup table.
#ifndef SAPPHIRESTREAM_TARGET_BUCKET_ASSIGNER_H_
#define SAPPHIRESTREAM_TARGET_BUCKET_ASSIGNER_H_

#include <cstddef>
#include <cstdint>
#include <span>
#include <vector>

#include "sapphirestream/base/id.h"

namespace sapphirestream::internal {

struct WeightedTarget {
  TargetId id = kNoTarget;
  // At least 1.
  std::uint32_t weight = 1;
};

// Fills the buckets of a table. Implementations are pure functions that use
// integer arithmetic only, so that every instance computes the same table.
class BucketAssigner {
 public:
  virtual ~BucketAssigner() = default;
  // Returns the owner of each bucket. `targets` is sorted by id and not empty.
  [[nodiscard]] virtual std::vector<TargetId> Assign(
      std::span<const WeightedTarget> targets) const = 0;
};

// Average number of buckets per target before rounding up to a power of two:
// 17,000 services with 7 targets take 17 MB of the 128 MB an instance has, and
// rounding to whole buckets stays near 3%.
inline constexpr std::size_t kBucketsPerTarget = 32;
inline constexpr std::size_t kMinBuckets = 128;

}  // namespace sapphirestream::internal

#endif  // SAPPHIRESTREAM_TARGET_BUCKET_ASSIGNER_H_
