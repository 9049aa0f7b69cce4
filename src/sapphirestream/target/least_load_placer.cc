#include "sapphirestream/target/least_load_placer.h"

#include <algorithm>
#include <tuple>
#include <utility>

#include "sapphirestream/base/hash.h"

namespace sapphirestream {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

// Maximum number of targets of a group that one placement examines. The best of
// 64 is close to the best of all, and the limit bounds the cost with 20,000
// targets.
constexpr std::size_t kScanLimit = 64;
// Initial share of its capacity that a target gets in slow start.
constexpr double kInitialRamp = 0.1;
// Number of consecutive stalled flows after which a target is marked as failed.
// Single stalls are caused by clients and network paths.
constexpr std::uint32_t kMaxStalls = 3;
constexpr Duration kRetryDelay = seconds(10);
// Time for which progress of a flow shows that its target is alive.
constexpr Duration kProgressLifetime = seconds(2);
// Interval of the updates of slow starts and retries, which iterate over all
// targets.
constexpr Duration kAdvanceInterval = milliseconds(100);
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

std::uint32_t Scale(std::uint32_t limit, std::uint32_t permille) {
  return std::max(
      1U, static_cast<std::uint32_t>(std::uint64_t{limit} * permille / 1000));
}

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

LeastLoadPlacer::LeastLoadPlacer(const Service& service, const Preset& preset,
                                 DomainId own_domain)
    : kind_(service.kind), own_domain_(own_domain) {
  for (const Target& target : service.targets) Emplace(target, false);
  Update(service, preset);
}

LeastLoadPlacer::Entry* LeastLoadPlacer::Find(TargetId target) noexcept {
  return const_cast<Entry*>(std::as_const(*this).Find(target));
}

const LeastLoadPlacer::Entry* LeastLoadPlacer::Find(
    TargetId target) const noexcept {
  const auto it = std::lower_bound(
      entries_.begin(), entries_.end(), target,
      [](const Entry& entry, TargetId id) { return entry.id < id; });
  return it != entries_.end() && it->id == target ? &*it : nullptr;
}

TargetState LeastLoadPlacer::StateOf(TargetId target) const noexcept {
  const Entry* entry = Find(target);
  return entry == nullptr ? TargetState::kRemoved : entry->lifecycle.state();
}

LeastLoadPlacer::Entry& LeastLoadPlacer::Emplace(const Target& target,
                                                 bool is_new) {
  const auto position = std::lower_bound(
      entries_.begin(), entries_.end(), target.id,
      [](const Entry& entry, TargetId id) { return entry.id < id; });
  const auto it = entries_.emplace(position, target);
  if (!is_new) it->lifecycle.Apply(TargetEvent::kFound);
  return *it;
}

void LeastLoadPlacer::Update(const Service& service, const Preset& preset) {
  preset_ = preset;
  kind_ = service.kind;
  all_counted_ = !service.idempotent || preset.load_share_permille >= 1000;
  for (const Target& target : service.targets) {
    Entry* known = Find(target.id);
    if (known == nullptr && target.removed) continue;
    Entry& entry = known != nullptr ? *known : Emplace(target, true);
    entry.domain = target.domain;
    entry.slots = Scale(target.slots, preset.capacity_permille);
    entry.connections = Scale(target.max_connections, preset.capacity_permille);
    if (target.drained != ConfigVersion{}) {
      entry.lifecycle.Apply(TargetEvent::kDrained);
    }
  }
  EraseRemoved(service);
  // A peer may have reported counts for a target before it was known here.
  SumPeerCounts(last_peer_counts_);
  next_advance_ = {};
  SumReports();
  RebuildGroups();
}

// Erases targets that are no longer part of the service once their last flow
// has ended.
void LeastLoadPlacer::EraseRemoved(const Service& service) {
  std::erase_if(entries_, [&service](Entry& entry) {
    const auto it = std::lower_bound(
        service.targets.begin(), service.targets.end(), entry.id,
        [](const Target& target, TargetId id) { return target.id < id; });
    if (it != service.targets.end() && it->id == entry.id && !it->removed) {
      return false;
    }
    entry.lifecycle.Apply(TargetEvent::kRemoved);
    return entry.load.own() == 0;
  });
}

void LeastLoadPlacer::RebuildGroups() {
  own_group_.clear();
  other_group_.clear();
  headroom_.clear();
  has_transient_ = false;
  const auto add = [this](std::size_t i) {
    const DomainId domain = entries_[i].domain;
    if (domain == own_domain_) {
      own_group_.push_back(i);
      return;
    }
    other_group_.push_back(i);
    const bool is_known =
        std::any_of(headroom_.begin(), headroom_.end(),
                    [domain](const auto& r) { return r.domain == domain; });
    if (!is_known) headroom_.push_back({domain, 0.0});
  };
  for (std::size_t i = 0; i < entries_.size(); ++i) {
    const TargetState state = entries_[i].lifecycle.state();
    has_transient_ |= state == TargetState::kJoining ||
                      state == TargetState::kWarming ||
                      state == TargetState::kFailed;
    if (entries_[i].lifecycle.accepts()) add(i);
  }
  if (!own_group_.empty() || !other_group_.empty()) return;
  // If all targets look failed, the fault is more likely in this instance or in
  // the network, so failed targets are used as well.
  for (std::size_t i = 0; i < entries_.size(); ++i) {
    if (entries_[i].lifecycle.state() == TargetState::kFailed) add(i);
  }
}

void LeastLoadPlacer::AdvanceLifecycle(Entry& entry, TimePoint now) {
  TargetLifecycle& lifecycle = entry.lifecycle;
  const bool is_due = lifecycle.state() == TargetState::kFailed &&
                      now - entry.since >= kRetryDelay;
  if (lifecycle.Apply(TargetEvent::kStarted) ||
      (is_due && lifecycle.Apply(TargetEvent::kRetried))) {
    entry.since = now;
    // After a retry, a single stall marks the target as failed again.
    entry.stalls = is_due ? kMaxStalls - 1 : 0;
  }
  if (lifecycle.state() != TargetState::kWarming) return;
  const Duration total = preset_.slow_start;
  const Duration elapsed = now - entry.since;
  if (elapsed >= total) {
    lifecycle.Apply(TargetEvent::kWarmedUp);
    entry.ramp = 1.0;
  } else {
    entry.ramp = std::max(kInitialRamp, static_cast<double>(elapsed.count()) /
                                            static_cast<double>(total.count()));
  }
}

void LeastLoadPlacer::Advance(TimePoint now) {
  if (has_transient_ && now >= next_advance_) {
    next_advance_ = now + kAdvanceInterval;
    for (Entry& entry : entries_) AdvanceLifecycle(entry, now);
    RebuildGroups();
  }
  if (peers_.Expire(now)) SumPeerCounts(now);
}

void LeastLoadPlacer::SumPeerCounts(TimePoint now) {
  for (Entry& entry : entries_) {
    const std::uint32_t open = peers_.SumOf(entry.id);
    if (open != entry.load.peers()) entry.load.SetPeers(open, now);
  }
}

void LeastLoadPlacer::SetPeerCounts(InstanceId peer,
                                    std::span<const PlacementCount> counts,
                                    TimePoint now) {
  // Updates only targets that the peer uses or used: a message arrives from
  // each peer every 100 ms, and a service may have thousands of targets.
  const auto add = [this, now](std::span<const PlacementCount> peer_counts,
                               bool is_added) {
    for (const PlacementCount& peer_count : peer_counts) {
      Entry* entry = Find(peer_count.target);
      if (entry == nullptr) continue;
      const std::uint32_t open = entry->load.peers();
      entry->load.SetPeers(
          is_added ? open + peer_count.open : open - peer_count.open, now);
    }
  };
  last_peer_counts_ = now;
  add(peers_.CountsOf(peer), false);
  peers_.Set(peer, counts, now);
  add(peers_.CountsOf(peer), true);
}

void LeastLoadPlacer::Adopt(TargetId target, TimePoint now) {
  if (Entry* entry = Find(target)) entry->load.AddOwn(now);
}

void LeastLoadPlacer::End(TargetId target, TimePoint now) {
  if (Entry* entry = Find(target)) entry->load.RemoveOwn(now);
}

void LeastLoadPlacer::Report(const LoadReport& report, TimePoint now) {
  Entry* entry = Find(report.target);
  if (entry == nullptr) return;
  const auto add = [this, entry](double sign) {
    if (!entry->load.has_report()) return;
    const double trust = entry->load.trust();
    uncounted_sum_ += sign * trust * entry->load.uncounted();
    uncounted_capacity_ += sign * trust * Capacity(*entry);
  };
  add(-1.0);
  entry->load.Report(report, kind_, now);
  add(1.0);
}

void LeastLoadPlacer::SumReports() {
  uncounted_sum_ = 0.0;
  uncounted_capacity_ = 0.0;
  for (const Entry& entry : entries_) {
    if (!entry.load.has_report()) continue;
    uncounted_sum_ += entry.load.trust() * entry.load.uncounted();
    uncounted_capacity_ += entry.load.trust() * Capacity(entry);
  }
}

void LeastLoadPlacer::OnProgress(TargetId target, TimePoint now) {
  Entry* entry = Find(target);
  if (entry == nullptr) return;
  entry->stalls = 0;
  entry->progressed = now;
}

void LeastLoadPlacer::OnStall(TargetId target, TimePoint now) {
  Entry* entry = Find(target);
  if (entry == nullptr || ++entry->stalls < kMaxStalls) return;
  if (!entry->lifecycle.Apply(TargetEvent::kLost)) return;
  entry->since = now;
  RebuildGroups();
}

std::vector<PlacementCount> LeastLoadPlacer::OwnCounts() const {
  std::vector<PlacementCount> counts;
  for (const Entry& entry : entries_) {
    if (entry.load.own() > 0) counts.push_back({entry.id, entry.load.own()});
  }
  return counts;
}

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
