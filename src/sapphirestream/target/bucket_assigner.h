// Interface of the algorithms that assign the buckets of a lookup table to
// targets.
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

// Assigns the buckets of a table. Implementations are pure functions that use
// integer arithmetic only, so that every instance computes the same table.
class BucketAssigner {
 public:
  virtual ~BucketAssigner() = default;
  // Returns the owner of each bucket as an index into `targets`, which is
  // sorted by id, not empty, and at most 20,000 long.
  [[nodiscard]] virtual std::vector<std::uint16_t> Assign(
      std::span<const WeightedTarget> targets) const = 0;
};

// Average number of buckets per target before rounding up to a power of two.
// The error from rounding a share to whole buckets stays near 3%.
inline constexpr std::size_t kBucketsPerTarget = 32;
// Up to 16 targets the table size is constant, so that adding a target moves
// few buckets. 17,000 services with 7 targets and the 56,000 versions that they
// have in a day take 50 MB of the 128 MB of an instance.
inline constexpr std::size_t kMinBuckets = 512;

}  // namespace sapphirestream::internal

#endif  // SAPPHIRESTREAM_TARGET_BUCKET_ASSIGNER_H_
