#include "sapphirestream/target/bounded_rendezvous.h"

#include <algorithm>
#include <bit>

#include "sapphirestream/base/hash.h"

namespace sapphirestream::internal {
namespace {

constexpr std::uint32_t kUnowned = 0xffffffff;
// Rounds of bids. A round covers a position with a probability of at least
// 1/64, so 512 rounds leave about one in 3,000; these are assigned one by one.
constexpr std::uint64_t kRounds = 512;

// Maps the buckets of a table to units of one or two neighbouring buckets.
class UnitMap {
 public:
  explicit UnitMap(std::size_t targets) {
    const std::size_t units =
        std::max(kMinBuckets, kBucketsPerTarget * targets);
    buckets_ = std::bit_ceil(units);
    split_end_ = 2 * (units - buckets_ / 2);
  }
  [[nodiscard]] std::size_t buckets() const noexcept { return buckets_; }
  // Returns the first bucket of the unit that holds `bucket`.
  [[nodiscard]] std::size_t UnitOf(std::size_t bucket) const noexcept {
    return bucket < split_end_ ? bucket : bucket & ~std::size_t{1};
  }
  // Returns the number of buckets of the unit that starts at `bucket`.
  [[nodiscard]] std::uint32_t Width(std::size_t bucket) const noexcept {
    return bucket < split_end_ ? 1 : 2;
  }

 private:
  std::size_t buckets_ = 0;
  // Buckets before this one are units of their own.
  std::size_t split_end_ = 0;
};

class Auction {
 public:
  Auction(std::span<const WeightedTarget> targets, std::uint32_t slack_permille)
      : targets_(targets),
        units_(targets.size()),
        owners_(units_.buckets(), kUnowned),
        best_(units_.buckets()),
        held_(targets.size(), 0) {
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
    for (std::uint64_t round = 0; round < kRounds; ++round) {
      CollectBids(round);
      if (touched_.empty() && IsComplete()) break;
      SettleBids();
    }
    AssignRest();
    std::vector<std::uint16_t> buckets(owners_.size());
    for (std::size_t b = 0; b < buckets.size(); ++b) {
      buckets[b] = static_cast<std::uint16_t>(owners_[units_.UnitOf(b)]);
    }
    return buckets;
  }

 private:
  struct Bid {
    std::uint32_t rank = 0;
    std::uint32_t target = kUnowned;
  };

  [[nodiscard]] bool HasRoom(std::size_t target, std::size_t unit) const {
    return held_[target] + units_.Width(unit) <= bounds_[target];
  }
  [[nodiscard]] bool IsComplete() const { return assigned_ == owners_.size(); }

  void Give(std::size_t unit, std::uint32_t target) {
    owners_[unit] = target;
    held_[target] += units_.Width(unit);
    assigned_ += units_.Width(unit);
  }

  // Number of bids that a target has made before `round`; one per round for a
  // target of average weight.
  [[nodiscard]] std::uint64_t BidsBefore(std::uint64_t round,
                                         std::size_t target) const {
    return round * targets_[target].weight * targets_.size() / total_;
  }

  void CollectBids(std::uint64_t round) {
    for (std::uint32_t t = 0; t < targets_.size(); ++t) {
      if (held_[t] >= bounds_[t]) continue;
      const std::uint64_t end = BidsBefore(round + 1, t);
      for (std::uint64_t bid = BidsBefore(round, t); bid < end; ++bid) {
        PlaceBid(t, HashPair(Value(targets_[t].id), bid));
      }
    }
  }

  void PlaceBid(std::uint32_t target, std::uint64_t hash) {
    const std::size_t unit =
        units_.UnitOf(((hash >> 32) * owners_.size()) >> 32);
    if (owners_[unit] != kUnowned) return;
    const auto rank = static_cast<std::uint32_t>(hash);
    Bid& best = best_[unit];
    if (best.target == kUnowned) {
      touched_.push_back(static_cast<std::uint32_t>(unit));
    } else if (rank < best.rank) {
      return;
    }
    best = {rank, target};
  }

  void SettleBids() {
    for (const std::uint32_t unit : touched_) {
      if (const std::uint32_t target = best_[unit].target;
          HasRoom(target, unit)) {
        Give(unit, target);
      }
      best_[unit] = {};
    }
    touched_.clear();
  }

  // Gives each remaining unit to the target with the highest hash among those
  // below their bound, or among all if there is none.
  void AssignRest() {
    for (std::size_t unit = 0; unit < owners_.size() && !IsComplete();
         unit += units_.Width(unit)) {
      if (owners_[unit] != kUnowned) continue;
      std::uint32_t best = 0;
      std::uint64_t best_rank = 0;
      bool best_has_room = false;
      for (std::uint32_t t = 0; t < targets_.size(); ++t) {
        const bool has_room = HasRoom(t, unit);
        if (best_has_room && !has_room) continue;
        const std::uint64_t rank = HashPair(unit, Value(targets_[t].id));
        if (rank < best_rank && has_room == best_has_room) continue;
        best = t;
        best_rank = rank;
        best_has_room = has_room;
      }
      Give(unit, best);
    }
  }

  std::span<const WeightedTarget> targets_;
  std::uint64_t total_ = 0;
  UnitMap units_;
  // By first bucket of a unit: index of the owner in `targets_`.
  std::vector<std::uint32_t> owners_;
  // By first bucket of a unit: the best bid of this round.
  std::vector<Bid> best_;
  // Units with a bid in this round.
  std::vector<std::uint32_t> touched_;
  // By target: buckets held and the bound on them.
  std::vector<std::uint32_t> held_;
  std::vector<std::uint32_t> bounds_;
  std::size_t assigned_ = 0;
};

}  // namespace

std::vector<std::uint16_t> BoundedRendezvous::Assign(
    std::span<const WeightedTarget> targets) const {
  return Auction(targets, slack_permille_).Run();
}

}  // namespace sapphirestream::internal
