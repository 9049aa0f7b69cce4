#include "bench/lookup_table_bench/weighted_rendezvous.h"

#include <algorithm>
#include <bit>
#include <cmath>

#include "sapphirestream/base/hash.h"

namespace sapphirestream::internal {
namespace {

double Score(std::uint64_t hash, std::uint32_t weight) {
  const double unit = (static_cast<double>(hash >> 11) + 0.5) * 0x1.0p-53;
  return -static_cast<double>(weight) / std::log(unit);
}

std::uint16_t BestOf(std::span<const WeightedTarget> targets,
                     std::uint64_t bucket) {
  std::uint64_t best_hash = 0;
  double best_score = -1.0;
  std::size_t best = 0;
  for (std::size_t t = 0; t < targets.size(); ++t) {
    const WeightedTarget& target = targets[t];
    const std::uint64_t hash = HashPair(Value(target.id), bucket);
    // With equal weights, scores are in the same order as hashes.
    if (target.weight == targets[best].weight && hash < best_hash) continue;
    const double score = Score(hash, target.weight);
    if (score <= best_score) continue;
    best = t;
    best_hash = hash;
    best_score = score;
  }
  return static_cast<std::uint16_t>(best);
}

}  // namespace

std::vector<std::uint16_t> WeightedRendezvous::Assign(
    std::span<const WeightedTarget> targets) const {
  std::vector<std::uint16_t> buckets(
      std::bit_ceil(std::max(kMinBuckets, kBucketsPerTarget * targets.size())));
  for (std::size_t b = 0; b < buckets.size(); ++b) {
    buckets[b] = BestOf(targets, b);
  }
  return buckets;
}

}  // namespace sapphirestream::internal
