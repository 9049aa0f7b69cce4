// Chooses the target of a flow by load. least_load_placer.cc maintains the
// state that the choice is based on.
#include <algorithm>
#include <tuple>
#include <utility>

#include "sapphirestream/base/hash.h"
#include "sapphirestream/target/least_load_placer.h"

namespace sapphirestream {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

// Maximum number of targets of a group that one placement examines. The best of
// 64 is close to the best of all, and the limit bounds the cost with 20,000
// targets.
constexpr std::size_t kScanLimit = 64;
// Time for which progress of a flow shows that its target is alive.
constexpr Duration kProgressLifetime = seconds(2);
// Counts of other domains are up to 100 ms old, so a slot that looks free may
// already be taken. A new flow is therefore placed in another domain only if
// that domain has this many free slots. The number decreases by one per
// kReserveStep of waiting. Four slots and 50 ms gave the lowest 99th-percentile
// wait at 80% load.
constexpr double kInitialReserve = 4.0;
constexpr Duration kReserveStep = milliseconds(50);
// Number of requests that a target may queue beyond its slots. A flow is
// counted from its first packet until its end is reported, which is longer than
// it occupies a slot; without a queue, slots would idle while requests wait at
// the scheduler.
constexpr double kMaxQueued = 1.0;
// Streams spill to other domains when the best target in the own domain is
// loaded this much more than the best elsewhere, and stop at half of it. This
// is well within the goal of 1.05 for the ratio of peak to mean load.
constexpr double kStreamSpillMargin = 0.01;
// A stream is placed on its hash target if that is at most this much more
// loaded than the best target.
constexpr double kStreamHashMargin = 0.005;

// Calls `visit` for the indices in `group`, or for kScanLimit of them that are
// selected by the hash.
template <typename Visit>
void Scan(const std::vector<std::size_t>& group, std::uint64_t flow_hash,
          Visit visit) {
  const std::size_t examined = std::min(group.size(), kScanLimit);
  std::size_t position =
      group.size() > kScanLimit ? flow_hash % group.size() : 0;
  for (std::size_t i = 0; i < examined; ++i) {
    visit(group[position]);
    if (++position == group.size()) position = 0;
  }
}

}  // namespace

double LeastLoadPlacer::Capacity(const Entry& entry) const noexcept {
  return kind_ == FlowKind::kRequest ? entry.slots : entry.connections;
}

double LeastLoadPlacer::Load(const Entry& entry, TimePoint now) const noexcept {
  double counted = entry.load.counted();
  if (kind_ == FlowKind::kRequest && entry.stalls == 0 &&
      now - entry.progressed < kProgressLifetime) {
    // The end of a flow is lost with its packet. A dead target reports no load
    // either, but its flows make no progress.
    const double missing = entry.load.PersistentlyMissing(now);
    counted = std::max(0.0, counted - missing);
  }
  const double weight = entry.load.ReportWeight(kind_, now);
  // Counts are complete unless schedulers have lost contact with each other. In
  // that case reports show the flows of the others for as long as it lasts.
  if (all_counted_) {
    return counted + weight * entry.load.PersistentlyUncounted();
  }
  const double expected =
      uncounted_capacity_ > 0.0
          ? uncounted_sum_ / uncounted_capacity_ * Capacity(entry)
          : 0.0;
  return counted + weight * entry.load.uncounted() + (1 - weight) * expected;
}

bool LeastLoadPlacer::HasCapacity(const Entry& entry, double load,
                                  double queued) const noexcept {
  const double limit = std::max(1.0, Capacity(entry) * entry.ramp) + queued;
  // The estimate is rounded to whole flows.
  return load + 0.5 <= limit &&
         entry.load.reported_connections() < entry.connections;
}

double LeastLoadPlacer::Reserve(Duration waited) const noexcept {
  if (kind_ == FlowKind::kStream || peers_.empty() || own_group_.empty()) {
    return 0.0;
  }
  // Flows with a short maximum wait must not wait for the reserve.
  const Duration step = std::min(kReserveStep, Duration(preset_.max_wait) / 8);
  if (step.count() == 0) return 0.0;
  return kInitialReserve - static_cast<double>(waited / step);
}

void LeastLoadPlacer::MeasureHeadroom(std::uint64_t flow_hash, TimePoint now) {
  for (DomainHeadroom& headroom : headroom_) headroom.free = 0.0;
  Scan(other_group_, flow_hash, [this, now](std::size_t i) {
    const Entry& entry = entries_[i];
    const double free = Capacity(entry) * entry.ramp - Load(entry, now);
    if (free <= 0.0 || entry.load.IsShedding(now)) return;
    for (DomainHeadroom& headroom : headroom_) {
      if (headroom.domain == entry.domain) headroom.free += free;
    }
  });
}

double LeastLoadPlacer::HeadroomIn(DomainId domain) const noexcept {
  for (const DomainHeadroom& headroom : headroom_) {
    if (headroom.domain == domain) return headroom.free;
  }
  return 0.0;
}

void LeastLoadPlacer::ConsiderTarget(Entry& entry, std::uint64_t flow_hash,
                                     TimePoint now, double queued,
                                     Choice& choice) const {
  const double load = Load(entry, now);
  const double capacity = Capacity(entry) * entry.ramp;
  choice.load += load;
  choice.capacity += capacity;
  if (!HasCapacity(entry, load, queued) || entry.load.IsShedding(now)) return;
  const double score = load / capacity;
  const double tie = static_cast<double>(entry.load.reported_connections()) /
                     entry.connections;
  // Breaks ties by a hash that depends on the flow, so that schedulers with the
  // same view of the load choose different targets.
  const std::uint64_t rank = HashPair(flow_hash, Value(entry.id));
  if (choice.best != nullptr &&
      std::tie(choice.score, choice.tie, choice.rank) <=
          std::tie(score, tie, rank)) {
    return;
  }
  choice.best = &entry;
  choice.score = score;
  choice.tie = tie;
  choice.rank = rank;
}

LeastLoadPlacer::Choice LeastLoadPlacer::ChooseOwn(
    const PlacementRequest& request, double queued, TimePoint now) {
  Choice choice;
  Scan(own_group_, request.flow_hash, [&](std::size_t i) {
    ConsiderTarget(entries_[i], request.flow_hash, now, queued, choice);
  });
  return choice;
}

LeastLoadPlacer::Choice LeastLoadPlacer::ChooseOther(
    const PlacementRequest& request, double queued, TimePoint now) {
  Choice choice;
  const double reserve = Reserve(request.waited);
  if (reserve > 1.0) MeasureHeadroom(request.flow_hash, now);
  Scan(other_group_, request.flow_hash, [&](std::size_t i) {
    if (reserve > 1.0 && HeadroomIn(entries_[i].domain) < reserve) return;
    ConsiderTarget(entries_[i], request.flow_hash, now, queued, choice);
  });
  return choice;
}

bool LeastLoadPlacer::ShouldSpill(const Choice& own, const Choice& other) {
  const double start = preset_.spill_permille / 1000.0;
  const double stop =
      std::max(0.0, start - preset_.spill_hysteresis_permille / 1000.0);
  const double load = own.capacity > 0.0 ? own.load / own.capacity : start;
  if (kind_ == FlowKind::kRequest || own.best == nullptr ||
      other.best == nullptr || load >= start) {
    return spill_.Update(load, start, stop);
  }
  return spill_.Update(own.score, other.score * (1 + kStreamSpillMargin),
                       other.score * (1 + kStreamSpillMargin / 2));
}

LeastLoadPlacer::Entry* LeastLoadPlacer::TryHashTarget(
    const PlacementRequest& request, const Choice& best, TimePoint now) {
  Entry* entry = Find(request.hash_target);
  if (entry == nullptr || !entry->lifecycle.accepts()) return nullptr;
  if (entry->domain != own_domain_) {
    const double reserve = Reserve(request.waited);
    if (!spill_.spilling()) return nullptr;
    if (reserve > 1.0 && HeadroomIn(entry->domain) < reserve) return nullptr;
  }
  Choice hash_choice;
  ConsiderTarget(*entry, request.flow_hash, now, 0.0, hash_choice);
  if (hash_choice.best == nullptr) return nullptr;
  if (kind_ == FlowKind::kStream &&
      hash_choice.score > best.score * (1 + kStreamHashMargin)) {
    return nullptr;
  }
  return entry;
}

LeastLoadPlacer::Entry* LeastLoadPlacer::ChooseTarget(
    const PlacementRequest& request, TimePoint now) {
  const Choice own = ChooseOwn(request, 0.0, now);
  const Choice other = ChooseOther(request, 0.0, now);
  const bool spilling = ShouldSpill(own, other);
  const bool take_other =
      own.best == nullptr ||
      (spilling && other.best != nullptr && other.score < own.score);
  const Choice& best = take_other ? other : own;
  if (best.best == nullptr) return Enqueue(request, now);
  Entry* hash_target = TryHashTarget(request, best, now);
  return hash_target != nullptr ? hash_target : best.best;
}

LeastLoadPlacer::Entry* LeastLoadPlacer::Enqueue(
    const PlacementRequest& request, TimePoint now) {
  if (kind_ != FlowKind::kRequest) return nullptr;
  Entry* own = ChooseOwn(request, kMaxQueued, now).best;
  return own != nullptr ? own : ChooseOther(request, kMaxQueued, now).best;
}

Placement LeastLoadPlacer::Place(const PlacementRequest& request,
                                 TimePoint now) {
  Advance(now);
  if (own_group_.empty() && other_group_.empty()) return {};
  Entry* chosen = ChooseTarget(request, now);
  if (chosen == nullptr) {
    return {.kind = kind_ == FlowKind::kRequest ? PlacementKind::kWait
                                                : PlacementKind::kRefused,
            .reason = ErrorKind::kCapacityExceeded};
  }
  chosen->load.AddOwn(now);
  return {.kind = PlacementKind::kPlaced,
          .target = chosen->id,
          .reason = ErrorKind::kNone,
          .spilled = chosen->domain != own_domain_};
}

}  // namespace sapphirestream
