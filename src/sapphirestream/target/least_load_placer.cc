#include "sapphirestream/target/least_load_placer.h"

#include <algorithm>
#include <tuple>
#include <utility>

#include "sapphirestream/base/hash.h"

namespace sapphirestream {
namespace {

using std::chrono::seconds;

// Targets of a group that one placement examines at most. The best of 64 is
// close to the best of all, and bounds the cost at 20,000 targets.
constexpr std::size_t kScanLimit = 64;
// A peer that sends counts every 100 ms is declared dead after 3 s of silence;
// its flows then belong to its successor, which counts them.
constexpr Duration kPeerLifetime = seconds(3);
// Share of its capacity that a target gets when its slow start begins.
constexpr double kFirstRamp = 0.1;
// Flows that stall in a row before a target counts as failed. Single stalls
// come from clients and paths.
constexpr std::uint32_t kStallsToFail = 3;
constexpr Duration kFailedTime = seconds(10);
// Streams leave the own domain when its best target is loaded this much more
// than the best elsewhere, and return at half of it: well inside the goal of
// 1.05 for peak to mean.
constexpr double kStreamSpillMargin = 0.02;
// A stream takes its hash target if that is at most this much more loaded than
// the best target.
constexpr double kStreamHashMargin = 0.01;

std::uint32_t Scale(std::uint32_t limit, std::uint32_t permille) {
  const auto scaled =
      static_cast<std::uint32_t>(std::uint64_t{limit} * permille / 1000);
  return std::max(1U, scaled);
}

}  // namespace

LeastLoadPlacer::LeastLoadPlacer(const Service& service, const Preset& preset,
                                 DomainId own_domain)
    : kind_(service.kind), own_domain_(own_domain), preset_(preset) {
  for (const Target& target : service.targets) AddEntry(target, false);
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

void LeastLoadPlacer::SetLimits(Entry& entry, const Target& target) const {
  entry.domain = target.domain;
  entry.slots = Scale(target.slots, preset_.capacity_permille);
  entry.connections = Scale(target.max_connections, preset_.capacity_permille);
}

void LeastLoadPlacer::AddEntry(const Target& target, bool is_new) {
  const auto position = std::lower_bound(
      entries_.begin(), entries_.end(), target.id,
      [](const Entry& entry, TargetId id) { return entry.id < id; });
  const auto it = entries_.emplace(position, target, kind_);
  if (!is_new) it->lifecycle.Apply(TargetEvent::kFound);
}

void LeastLoadPlacer::Update(const Service& service, const Preset& preset) {
  preset_ = preset;
  kind_ = service.kind;
  all_counted_ = !service.idempotent || preset.load_share_permille >= 1000;
  for (const Target& target : service.targets) {
    Entry* known = Find(target.id);
    if (known == nullptr && target.removed) continue;
    if (known == nullptr) AddEntry(target, true);
    Entry& entry = *Find(target.id);
    SetLimits(entry, target);
    if (target.drained != ConfigVersion{})
      entry.lifecycle.Apply(TargetEvent::kDrained);
  }
  RemoveLeft(service);
  SumReports();
  RebuildCandidates();
}

// Targets that the service no longer has are forgotten with their last flow.
void LeastLoadPlacer::RemoveLeft(const Service& service) {
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

void LeastLoadPlacer::RebuildCandidates() {
  own_group_.clear();
  other_group_.clear();
  own_group_.reserve(entries_.size());
  other_group_.reserve(entries_.size());
  has_transient_ = false;
  const auto add = [this](std::size_t i) {
    (entries_[i].domain == own_domain_ ? own_group_ : other_group_)
        .push_back(i);
  };
  for (std::size_t i = 0; i < entries_.size(); ++i) {
    const TargetState state = entries_[i].lifecycle.state();
    has_transient_ |= state == TargetState::kJoining ||
                      state == TargetState::kWarming ||
                      state == TargetState::kFailed;
    if (entries_[i].lifecycle.accepts()) add(i);
  }
  if (!own_group_.empty() || !other_group_.empty()) return;
  // If all targets look failed, the fault is more likely here or on the way.
  for (std::size_t i = 0; i < entries_.size(); ++i) {
    if (entries_[i].lifecycle.state() == TargetState::kFailed) add(i);
  }
}

void LeastLoadPlacer::AdvanceLifecycle(Entry& entry, TimePoint now) {
  TargetLifecycle& lifecycle = entry.lifecycle;
  if (lifecycle.Apply(TargetEvent::kStarted) ||
      (lifecycle.state() == TargetState::kFailed &&
       now - entry.since >= kFailedTime &&
       lifecycle.Apply(TargetEvent::kRetried))) {
    entry.since = now;
    entry.stalls = 0;
  }
  if (lifecycle.state() != TargetState::kWarming) return;
  const Duration whole = preset_.slow_start;
  if (now - entry.since >= whole) {
    lifecycle.Apply(TargetEvent::kWarmedUp);
    entry.ramp = 1.0;
    return;
  }
  entry.ramp =
      std::max(kFirstRamp, static_cast<double>((now - entry.since).count()) /
                               static_cast<double>(whole.count()));
}

void LeastLoadPlacer::Advance(TimePoint now) {
  if (has_transient_) {
    for (Entry& entry : entries_) AdvanceLifecycle(entry, now);
    RebuildCandidates();
  }
  ExpirePeers(now);
}

void LeastLoadPlacer::ExpirePeers(TimePoint now) {
  bool changed = false;
  for (Peer& peer : peers_) {
    if (peer.counts.empty() || now - peer.heard < kPeerLifetime) continue;
    peer.counts.clear();
    peer_lost_ = true;
    changed = true;
  }
  if (changed) SumPeerCounts(now);
}

void LeastLoadPlacer::SumPeerCounts(TimePoint now) {
  for (Entry& entry : entries_) {
    std::uint32_t open = 0;
    for (const Peer& peer : peers_) {
      const auto it = std::lower_bound(
          peer.counts.begin(), peer.counts.end(), entry.id,
          [](const PlacementCount& c, TargetId id) { return c.target < id; });
      if (it != peer.counts.end() && it->target == entry.id) open += it->open;
    }
    if (open != entry.load.peers()) entry.load.SetPeers(open, now);
  }
}

void LeastLoadPlacer::SetPeerCounts(InstanceId peer,
                                    std::span<const PlacementCount> counts,
                                    TimePoint now) {
  auto it =
      std::lower_bound(peers_.begin(), peers_.end(), peer,
                       [](const Peer& p, InstanceId id) { return p.id < id; });
  if (it == peers_.end() || it->id != peer) {
    it = peers_.insert(it, Peer{.id = peer, .heard = now, .counts = {}});
  }
  it->heard = now;
  it->counts.assign(counts.begin(), counts.end());
  peer_lost_ = std::any_of(peers_.begin(), peers_.end(), [now](const Peer& p) {
    return now - p.heard >= kPeerLifetime;
  });
  SumPeerCounts(now);
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
  const auto count = [&](double sign) {
    uncounted_sum_ += sign * entry->load.trust() * entry->load.uncounted();
    uncounted_capacity_ += sign * entry->load.trust() * Capacity(*entry);
  };
  if (entry->load.has_report()) count(-1.0);
  entry->load.Report(report, now);
  count(1.0);
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

void LeastLoadPlacer::Progressed(TargetId target, TimePoint /*now*/) {
  if (Entry* entry = Find(target)) entry->stalls = 0;
}

void LeastLoadPlacer::Stalled(TargetId target, TimePoint now) {
  Entry* entry = Find(target);
  if (entry == nullptr || ++entry->stalls < kStallsToFail) return;
  if (!entry->lifecycle.Apply(TargetEvent::kLost)) return;
  entry->since = now;
  RebuildCandidates();
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
  const double counted = entry.load.counted();
  // Counts are exact then, and better than any report.
  if (all_counted_ && !peer_lost_) return counted;
  const double weight = entry.load.ReportWeight(now);
  const double expected =
      uncounted_capacity_ > 0.0
          ? uncounted_sum_ / uncounted_capacity_ * Capacity(entry)
          : 0.0;
  return counted + weight * entry.load.uncounted() + (1 - weight) * expected;
}

bool LeastLoadPlacer::HasRoom(const Entry& entry, double load) const noexcept {
  const double limit = std::max(1.0, Capacity(entry) * entry.ramp);
  // The estimate is rounded to whole flows.
  return load + 0.5 <= limit &&
         entry.load.reported_connections() < entry.connections;
}

void LeastLoadPlacer::Consider(Entry& entry, std::uint64_t flow_hash,
                               TimePoint now, Choice& choice) const {
  const double load = Load(entry, now);
  const double capacity = Capacity(entry) * entry.ramp;
  choice.load += load;
  choice.capacity += capacity;
  if (!HasRoom(entry, load) || entry.load.IsShedding(now)) return;
  const double score = load / capacity;
  const double tie = static_cast<double>(entry.load.reported_connections()) /
                     entry.connections;
  // Schedulers that see the same loads choose different targets.
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

LeastLoadPlacer::Choice LeastLoadPlacer::Choose(
    std::span<const std::size_t> group, std::uint64_t flow_hash,
    TimePoint now) {
  Choice choice;
  const std::size_t examined = std::min(group.size(), kScanLimit);
  std::size_t at = group.size() > kScanLimit ? flow_hash % group.size() : 0;
  for (std::size_t i = 0; i < examined; ++i) {
    Consider(entries_[group[at]], flow_hash, now, choice);
    if (++at == group.size()) at = 0;
  }
  return choice;
}

bool LeastLoadPlacer::ShouldSpill(const Choice& own, const Choice& other) {
  const double start = preset_.spill_permille / 1000.0;
  const double stop =
      start - std::min(preset_.spill_hysteresis_permille / 1000.0, start);
  const double load = own.capacity > 0.0 ? own.load / own.capacity : start;
  if (kind_ == FlowKind::kRequest || own.best == nullptr ||
      other.best == nullptr || load >= start) {
    return spill_.Update(load, start, stop);
  }
  return spill_.Update(own.score, other.score * (1 + kStreamSpillMargin),
                       other.score * (1 + kStreamSpillMargin / 2));
}

LeastLoadPlacer::Entry* LeastLoadPlacer::TakeHashTarget(
    const PlacementRequest& request, const Choice& best, bool spilling,
    TimePoint now) {
  Entry* entry = Find(request.hash_target);
  if (entry == nullptr || !entry->lifecycle.accepts()) return nullptr;
  if (entry->domain != own_domain_ && !spilling) return nullptr;
  Choice alone;
  Consider(*entry, request.flow_hash, now, alone);
  if (alone.best == nullptr) return nullptr;
  if (kind_ == FlowKind::kStream &&
      alone.score > best.score * (1 + kStreamHashMargin)) {
    return nullptr;
  }
  return entry;
}

LeastLoadPlacer::Entry* LeastLoadPlacer::Decide(const PlacementRequest& request,
                                                TimePoint now) {
  const Choice own = Choose(own_group_, request.flow_hash, now);
  const Choice other = Choose(other_group_, request.flow_hash, now);
  const bool spilling = ShouldSpill(own, other);
  const Choice* best = &own;
  if (own.best == nullptr ||
      (spilling && other.best != nullptr && other.score < own.score)) {
    best = &other;
  }
  if (best->best == nullptr) return nullptr;
  if (Entry* hash_target = TakeHashTarget(request, *best, spilling, now)) {
    return hash_target;
  }
  return best->best;
}

Placement LeastLoadPlacer::Place(const PlacementRequest& request,
                                 TimePoint now) {
  Advance(now);
  if (own_group_.empty() && other_group_.empty()) return {};
  Entry* chosen = Decide(request, now);
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
