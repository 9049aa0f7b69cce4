#include "sapphirestream/edge/balanced_placement.h"

#include <algorithm>
#include <array>
#include <cmath>
#include <utility>

#include "sapphirestream/edge/flow_share.h"
#include "sapphirestream/edge/rendezvous.h"
#include "sapphirestream/edge/target_slots.h"

namespace sapphirestream {
namespace {

// Costs are expected times, in thousandths of the time of an average request.
// They are integers, so that all instances compare them alike.
using Cost = std::uint64_t;
constexpr Cost kCostUnit = 1000;

// Range of relative times; values outside are clamped.
constexpr double kMinRelativeTime = 1.0 / 64;
constexpr double kMaxRelativeTime = 64;
// Failure shares above this are not distinguished.
constexpr double kMaxFailureShare = 0.9;

double Clamp(double value, double low, double high) noexcept {
  // Also true for a value that is not a number.
  if (!(value > low)) return low;
  return std::min(value, high);
}

// Request time relative to an average target. A failed request is repeated.
double EffectiveTime(const TargetEstimate& estimate) noexcept {
  return Clamp(estimate.relative_time, kMinRelativeTime, kMaxRelativeTime) /
         (1 - Clamp(estimate.failure_share, 0, kMaxFailureShare));
}

struct Candidate {
  EdgeTarget* target = nullptr;
  RendezvousScore score;
  // On the counts of all instances.
  Cost cost = 0;
  // On the instance's own counts.
  Cost own_cost = 0;
  bool has_slot = false;
};

// Returns the difference in cost, by the counts of peers, above which a flow
// avoids a target.
Cost PeerMargin(std::uint64_t flow_hash) noexcept {
  constexpr auto largest = static_cast<Cost>(
      kCostUnit *
      (std::chrono::duration<double>(BalancedPlacer::kTypicalCountAge) /
       SpillControl::kRequestTime));
  return FlowPosition(flow_hash, FlowShare::kPeerCounts) * largest >> 32U;
}

bool IsCheaper(const Candidate& a, const Candidate& b, Cost margin) noexcept {
  if (a.cost + margin < b.cost) return true;
  constexpr Cost kept = 100 - BalancedPlacer::kMinAdvantagePercent;
  return a.own_cost * 100 < b.own_cost * kept && a.cost <= b.cost + margin;
}

// The candidates with the best scores, best first.
class Shortlist {
 public:
  void Add(Candidate candidate) noexcept {
    for (Candidate& listed : best_) {
      if (listed.target == nullptr || candidate.score < listed.score) {
        std::swap(candidate, listed);
      }
      if (candidate.target == nullptr) return;
    }
  }
  [[nodiscard]] bool empty() const noexcept {
    return best_[0].target == nullptr;
  }
  // Returns the first candidate, unless a later one is cheaper.
  [[nodiscard]] const Candidate& Cheapest(Cost margin) const noexcept {
    const Candidate* cheapest = &best_[0];
    for (const Candidate& other : best_) {
      if (other.target == nullptr) break;
      if (IsCheaper(other, *cheapest, margin)) cheapest = &other;
    }
    return *cheapest;
  }

 private:
  std::array<Candidate, BalancedPlacer::kCandidates> best_;
};

// The eligible targets of the own or of the other failure domains.
class DomainView {
 public:
  void Add(EdgeTarget& target, const TargetEstimate& estimate,
           const PlacementQuery& query) {
    const std::uint32_t limit = SlotLimit(target, query);
    const std::uint32_t slots = std::min(limit, SlotsOf(target));
    const std::uint32_t outstanding =
        std::max(target.outstanding, estimate.outstanding);
    const double time = EffectiveTime(estimate);
    const auto cost = [slots](std::uint32_t count, double request_time) {
      return (Cost{count} + 1) *
             static_cast<Cost>(std::llround(request_time * kCostUnit)) / slots;
    };
    // By its few requests, this instance sees nearly all targets as free: fast
    // ones count as average, so that not all flows prefer them.
    const Candidate candidate{
        &target,
        {query.flow_hash, target.record.key, estimate.weight},
        cost(outstanding, time),
        cost(target.outstanding, std::max(1.0, time)),
        outstanding < limit};
    candidates_.Add(candidate);
    const double weight = Clamp(estimate.weight, RendezvousScore::kMinWeight,
                                RendezvousScore::kMaxWeight);
    weight_ += weight;
    own_outstanding_ += target.outstanding;
    failures_ += weight * Clamp(estimate.failure_share, 0, 1);
    if (!candidate.has_slot) {
      wait_ += weight * time * (outstanding + 1 - limit) / slots;
    }
  }
  [[nodiscard]] bool empty() const noexcept { return candidates_.empty(); }
  // Precondition: not empty.
  [[nodiscard]] const Candidate& Best(Cost margin) const noexcept {
    return candidates_.Cheapest(margin);
  }
  [[nodiscard]] DomainLoad Load() const noexcept {
    return {.expected_wait = wait_ / weight_,
            .outstanding = own_outstanding_,
            .failure_share = failures_ / weight_};
  }

 private:
  Shortlist candidates_;
  // Sums over the targets; waits and failures are weighted by the targets'
  // weights.
  double weight_ = 0;
  double wait_ = 0;
  double failures_ = 0;
  double own_outstanding_ = 0;
};

DomainView ViewOf(const std::vector<EdgeTarget*>& targets,
                  const PerformanceSource& performance,
                  const PlacementQuery& query) {
  DomainView view;
  for (EdgeTarget* const target : targets) {
    view.Add(*target, performance.Estimate(*target, query.now), query);
  }
  return view;
}

EdgePlacement LocalPlacement(const Candidate& best) {
  return {best.target, best.has_slot ? PlacementTier::kLocalSlot
                                     : PlacementTier::kLocalQueue};
}

EdgePlacement RemotePlacement(const Candidate& best) {
  return {best.target, best.has_slot ? PlacementTier::kRemoteSlot
                                     : PlacementTier::kRemoteQueue};
}

}  // namespace

EdgePlacement BalancedPlacer::Place(const std::vector<EdgeTarget*>& targets,
                                    const PlacementQuery& query) {
  return Select(targets, query,
                [this](SpillKey key) -> SpillControl& { return spill_[key]; });
}

std::optional<EdgePlacement> BalancedPlacer::Preview(
    const std::vector<EdgeTarget*>& targets,
    const PlacementQuery& query) const {
  SpillControl copy;
  return Select(targets, query, [this, &copy](SpillKey key) -> SpillControl& {
    const auto it = spill_.find(key);
    if (it != spill_.end()) copy = it->second;
    return copy;
  });
}

EdgePlacement BalancedPlacer::Select(const std::vector<EdgeTarget*>& targets,
                                     const PlacementQuery& query,
                                     const SpillOf& spill_of) const {
  DomainView local;
  Shortlist unproven;
  remote_.clear();
  for (EdgeTarget* const target : targets) {
    const PlacementTier tier = TierOf(*target, query);
    if (tier == PlacementTier::kNone) continue;
    if (tier == PlacementTier::kUnproven) {
      unproven.Add({target, {query.flow_hash, target->record.key, 1}});
    } else if (target->is_local) {
      local.Add(*target, performance_.Estimate(*target, query.now), query);
    } else {
      remote_.push_back(target);
    }
  }
  const Cost margin = PeerMargin(query.flow_hash);
  if (local.empty() && remote_.empty()) {
    if (unproven.empty()) return {};
    return {unproven.Cheapest(0).target, PlacementTier::kUnproven};
  }
  if (remote_.empty()) return LocalPlacement(local.Best(margin));
  if (local.empty()) {
    return RemotePlacement(ViewOf(remote_, performance_, query).Best(margin));
  }

  const Candidate& local_best = local.Best(margin);
  const DomainLoad load = local.Load();
  SpillControl& spill = spill_of(
      {local_best.target->service, query.kind == RequestKind::kUpload});
  if (spill.IsIdle(load)) {
    spill.Update(load, {}, query.now);
    return LocalPlacement(local_best);
  }
  const DomainView remote = ViewOf(remote_, performance_, query);
  const Candidate& remote_best = remote.Best(margin);
  spill.Update(load, remote.Load(), query.now);
  constexpr auto crossing =
      static_cast<Cost>(SpillControl::kCrossingCost * kCostUnit);
  const bool uses_remote = !local_best.has_slot &&
                           spill.MayCross(query.flow_hash) &&
                           remote_best.cost + crossing < local_best.cost;
  spill.OnPlaced(uses_remote);
  return uses_remote ? RemotePlacement(remote_best)
                     : LocalPlacement(local_best);
}

double BalancedPlacer::SpillShare(ServiceNumber service,
                                  RequestKind kind) const noexcept {
  const auto it = spill_.find({service, kind == RequestKind::kUpload});
  return it == spill_.end() ? 0 : it->second.share();
}

}  // namespace sapphirestream
