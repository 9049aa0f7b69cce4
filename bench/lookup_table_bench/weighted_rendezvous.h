// Weighted rendezvous hashing without a load bound, for comparison.
#ifndef SAPPHIRESTREAM_BENCH_LOOKUP_TABLE_BENCH_WEIGHTED_RENDEZVOUS_H_
#define SAPPHIRESTREAM_BENCH_LOOKUP_TABLE_BENCH_WEIGHTED_RENDEZVOUS_H_

#include "sapphirestream/target/bucket_assigner.h"

namespace sapphirestream::internal {

// Assigns each bucket to the target with the highest score -weight / log(hash).
// Uses floating point, so it is suitable for comparison only.
class WeightedRendezvous final : public BucketAssigner {
 public:
  [[nodiscard]] std::vector<std::uint16_t> Assign(
      std::span<const WeightedTarget> targets) const override;
};

}  // namespace sapphirestream::internal

#endif  // SAPPHIRESTREAM_BENCH_LOOKUP_TABLE_BENCH_WEIGHTED_RENDEZVOUS_H_
