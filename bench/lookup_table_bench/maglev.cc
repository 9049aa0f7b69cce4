#include "bench/lookup_table_bench/maglev.h"

#include <algorithm>
#include <bit>

#include "sapphirestream/base/hash.h"

namespace sapphirestream::internal {
namespace {

constexpr std::uint16_t kFree = 0xffff;

// Iterates over a permutation of the buckets. Their number is a power of two,
// so an odd step visits all of them.
class Permutation {
 public:
  explicit Permutation(TargetId id)
      : next_(HashPair(Value(id), 1)), step_(HashPair(Value(id), 2) | 1) {}
  std::size_t Next(std::size_t mask) {
    const std::size_t bucket = next_ & mask;
    next_ += step_;
    return bucket;
  }

 private:
  std::size_t next_;
  std::size_t step_;
};

}  // namespace

std::vector<std::uint16_t> Maglev::Assign(
    std::span<const WeightedTarget> targets) const {
  const std::size_t size =
      std::bit_ceil(std::max(kMinBuckets, kBucketsPerTarget * targets.size()));
  std::uint64_t total = 0;
  std::vector<Permutation> permutations;
  for (const WeightedTarget& target : targets) {
    total += target.weight;
    permutations.emplace_back(target.id);
  }
  std::vector<std::uint16_t> buckets(size, kFree);
  std::size_t filled = 0;
  for (std::uint64_t round = 0; filled < size; ++round) {
    for (std::size_t t = 0; t < targets.size(); ++t) {
      const std::uint64_t per_round = targets[t].weight * targets.size();
      std::uint64_t turns =
          (round + 1) * per_round / total - round * per_round / total;
      for (; turns > 0 && filled < size; --turns, ++filled) {
        std::size_t bucket = permutations[t].Next(size - 1);
        while (buckets[bucket] != kFree) {
          bucket = permutations[t].Next(size - 1);
        }
        buckets[bucket] = static_cast<std::uint16_t>(t);
      }
    }
  }
  return buckets;
}

}  // namespace sapphirestream::internal
