#include "sapphirestream/target/bounded_rendezvous.h"

#include <algorithm>
#include <bit>

#include "sapphirestream/base/hash.h"

namespace sapphirestream::internal {
namespace {

constexpr std::uint32_t kUnassigned = 0xffffffff;
// Maximum number of proposal rounds. A round covers a position with a
// probability of at least 1/64, so 512 rounds leave about one in 3,000
// unassigned; these are assigned one by one.
constexpr std::uint64_t kMaxRounds = 512;

// Maps the buckets of a table to units of one or two adjacent buckets.
class UnitMap {
 public:
  explicit UnitMap(std::size_t targets) {
    const std::size_t units =
        std::max(kMinBuckets, kBucketsPerTarget * targets);
    buckets_ = std::bit_ceil(units);
    split_end_ = 2 * (units - buckets_ / 2);
  }
  [[nodiscard]] std::size_t buckets() const noexcept { return buckets_; }
  // Returns the first bucket of the unit that contains `bucket`.
  [[nodiscard]] std::size_t UnitOf(std::size_t bucket) const noexcept {
    return bucket < split_end_ ? bucket : bucket & ~std::size_t{1};
  }
  // Returns the number of buckets of the unit that starts at `bucket`.
  [[nodiscard]] std::uint32_t Width(std::size_t bucket) const noexcept {
    return bucket < split_end_ ? 1 : 2;
  }

 private:
  std::size_t buckets_ = 0;
  // Each bucket before this one is a unit of its own.
  std::size_t split_end_ = 0;
};

class BucketAllocator {
 public:
  BucketAllocator(std::span<const WeightedTarget> targets,
                  std::uint32_t slack_permille)
      : targets_(targets),
        units_(targets.size()),
        owners_(units_.buckets(), kUnassigned),
        best_proposals_(units_.buckets()),
        bucket_counts_(targets.size(), 0) {
    for (const WeightedTarget& target : targets) total_ += target.weight;
    bounds_.reserve(targets.size());
    for (const WeightedTarget& target : targets) {
      const std::uint64_t share = units_.buckets() * target.weight;
      const std::uint64_t fair = (share + total_ - 1) / total_;
      const std::uint64_t bound =
          share * (1000 + slack_permille) / (total_ * 1000);
      bounds_.push_back(static_cast<std::uint32_t>(std::max(fair, bound)));
    }
  }

  std::vector<std::uint16_t> Run() {
    for (std::uint64_t round = 0; round < kMaxRounds; ++round) {
      CollectProposals(round);
      if (proposed_units_.empty() && IsComplete()) break;
      AcceptProposals();
    }
    AssignRemaining();
    std::vector<std::uint16_t> buckets(owners_.size());
    for (std::size_t b = 0; b < buckets.size(); ++b) {
      buckets[b] = static_cast<std::uint16_t>(owners_[units_.UnitOf(b)]);
    }
    return buckets;
  }

 private:
  struct Proposal {
    std::uint32_t rank = 0;
    std::uint32_t target = kUnassigned;
  };

  [[nodiscard]] bool HasCapacity(std::size_t target, std::size_t unit) const {
    return bucket_counts_[target] + units_.Width(unit) <= bounds_[target];
  }
  [[nodiscard]] bool IsComplete() const { return assigned_ == owners_.size(); }

  void AssignUnit(std::size_t unit, std::uint32_t target) {
    owners_[unit] = target;
    bucket_counts_[target] += units_.Width(unit);
    assigned_ += units_.Width(unit);
  }

  // Returns the number of proposals that a target has made before `round`: one
  // per round for a target of average weight.
  [[nodiscard]] std::uint64_t ProposalsBefore(std::uint64_t round,
                                              std::size_t target) const {
    return round * targets_[target].weight * targets_.size() / total_;
  }

  void CollectProposals(std::uint64_t round) {
    for (std::uint32_t t = 0; t < targets_.size(); ++t) {
      if (bucket_counts_[t] >= bounds_[t]) continue;
      const std::uint64_t end = ProposalsBefore(round + 1, t);
      for (std::uint64_t proposal = ProposalsBefore(round, t); proposal < end;
           ++proposal) {
        Propose(t, HashPair(Value(targets_[t].id), proposal));
      }
    }
  }

  void Propose(std::uint32_t target, std::uint64_t hash) {
    const std::size_t unit =
        units_.UnitOf(((hash >> 32) * owners_.size()) >> 32);
    if (owners_[unit] != kUnassigned) return;
    const auto rank = static_cast<std::uint32_t>(hash);
    Proposal& best = best_proposals_[unit];
    if (best.target == kUnassigned) {
      proposed_units_.push_back(static_cast<std::uint32_t>(unit));
    } else if (rank < best.rank) {
      return;
    }
    best = {rank, target};
  }

  void AcceptProposals() {
    for (const std::uint32_t unit : proposed_units_) {
      if (const std::uint32_t target = best_proposals_[unit].target;
          HasCapacity(target, unit)) {
        AssignUnit(unit, target);
      }
      best_proposals_[unit] = {};
    }
    proposed_units_.clear();
  }

  // Assigns each remaining unit to the target with the highest hash among those
  // below their bound, or among all targets if there is none.
  void AssignRemaining() {
    for (std::size_t unit = 0; unit < owners_.size() && !IsComplete();
         unit += units_.Width(unit)) {
      if (owners_[unit] != kUnassigned) continue;
      std::uint32_t best = 0;
      std::uint64_t best_rank = 0;
      bool best_has_capacity = false;
      for (std::uint32_t t = 0; t < targets_.size(); ++t) {
        const bool has_capacity = HasCapacity(t, unit);
        if (best_has_capacity && !has_capacity) continue;
        const std::uint64_t rank = HashPair(unit, Value(targets_[t].id));
        if (rank < best_rank && has_capacity == best_has_capacity) continue;
        best = t;
        best_rank = rank;
        best_has_capacity = has_capacity;
      }
      AssignUnit(unit, best);
    }
  }

  std::span<const WeightedTarget> targets_;
  std::uint64_t total_ = 0;
  UnitMap units_;
  // Index into `targets_` of the owner, by first bucket of a unit.
  std::vector<std::uint32_t> owners_;
  // Best proposal of the current round, by first bucket of a unit.
  std::vector<Proposal> best_proposals_;
  // Units with a proposal in the current round.
  std::vector<std::uint32_t> proposed_units_;
  // Number of assigned buckets and its upper bound, by target.
  std::vector<std::uint32_t> bucket_counts_;
  std::vector<std::uint32_t> bounds_;
  std::size_t assigned_ = 0;
};

}  // namespace

std::vector<std::uint16_t> BoundedRendezvous::Assign(
    std::span<const WeightedTarget> targets) const {
  return BucketAllocator(targets, slack_permille_).Run();
}

}  // namespace sapphirestream::internal
