// State of the targets: lifecycle, counts and load reports.
// least_load_choice.cc chooses a target for a flow.
#include "sapphirestream/target/least_load_placer.h"

#include <algorithm>
#include <tuple>
#include <utility>

#include "sapphirestream/base/hash.h"

namespace sapphirestream {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

// Initial share of its capacity that a target gets in slow start.
constexpr double kInitialRamp = 0.1;
// Number of consecutive stalled flows after which a target is marked as failed.
// Single stalls are caused by clients and network paths.
constexpr std::uint32_t kMaxStalls = 3;
constexpr Duration kRetryDelay = seconds(10);
// Interval of the updates of slow starts and retries, which iterate over all
// targets.
constexpr Duration kAdvanceInterval = milliseconds(100);
std::uint32_t Scale(std::uint32_t limit, std::uint32_t permille) {
  return std::max(
      1U, static_cast<std::uint32_t>(std::uint64_t{limit} * permille / 1000));
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

}  // namespace sapphirestream
