// Lookup table algorithm of the Maglev paper, for comparison.
#ifndef SAPPHIRESTREAM_BENCH_LOOKUP_TABLE_BENCH_MAGLEV_H_
#define SAPPHIRESTREAM_BENCH_LOOKUP_TABLE_BENCH_MAGLEV_H_

#include "sapphirestream/target/bucket_assigner.h"

namespace sapphirestream::internal {

// Targets take turns in proportion to their weights. In each turn, a target
// takes the next free bucket of its own permutation.
class Maglev final : public BucketAssigner {
 public:
  [[nodiscard]] std::vector<std::uint16_t> Assign(
      std::span<const WeightedTarget> targets) const override;
};

}  // namespace sapphirestream::internal

#endif  // SAPPHIRESTREAM_BENCH_LOOKUP_TABLE_BENCH_MAGLEV_H_
