#include "sapphirestream/domain/membership.h"

#include <algorithm>
#include <utility>

#include "sapphirestream/domain/timing.h"

namespace sapphirestream {
namespace {}  // namespace

Membership::Membership(const Options& options, DomainSink& sink, Random& random,
                       TimePoint now)
    : self_(options.self),
      domain_(options.domain),
      sink_(sink),
      random_(random),
      incarnation_(options.incarnation),
      is_ready_(options.ready),
      authority_(options.self, options.domain,
                 (Value(options.incarnation) << 20) + 1, now),
      next_round_(now),
      next_check_(now),
      next_reconnect_(now) {
  BeginJoining(now, kEchoLifetime);
  Refresh(now);
}

void Membership::OnInstanceList(std::span<const InstanceListing> list,
                                TimePoint now) {
  for (auto& [id, record] : table_.records()) record.is_listed = false;
  for (const InstanceListing& listing : list) {
    if (listing.id == self_ || listing.id == kNoInstance) continue;
    table_.Emplace(listing.id, listing.domain, now).is_listed = true;
    domain_heard_.try_emplace(listing.domain, now);
  }
  Refresh(now);
}

void Membership::OnTimer(TimePoint now) {
  if (is_superseded_) return;
  if (const Duration gap = authority_.OnTick(now); gap > Duration::zero()) {
    OnPause(gap, now);
  }
  if (now >= next_check_) {
    next_check_ = now + kCheckInterval;
    CheckOwnDomain(now);
    CheckOtherDomains(now);
    RemoveExpired(now);
    Refresh(now);
  }
  UpdateFences(now);
  CheckIsolation(now);
  if (state_ == MemberState::kJoining) TryFinishJoining(now);
  Refresh(now);
  if (now >= next_round_) {
    // Jitter keeps the instances from synchronizing.
    next_round_ =
        now + plan_.interval +
        Duration(random_.Below(
            static_cast<std::uint64_t>(plan_.interval.count()) / 8 + 1));
    SendRound(now);
  }
}

void Membership::SetConfigVersions(ConfigVersion prepared,
                                   ConfigVersion active) {
  prepared_ = prepared;
  active_ = active;
}

void Membership::SetRankKeys(std::vector<std::uint64_t> keys) {
  keys_ = std::move(keys);
  is_view_stale_ = true;
}

void Membership::BeginLeave(TimePoint now) {
  if (state_ == MemberState::kLeaving) return;
  state_ = MemberState::kLeaving;
  is_view_stale_ = true;
  Refresh(now);
  authority_.Withdraw();
  for (const InstanceId id : plan_.neighbours) {
    sink_.Send(id, Leave{incarnation_});
  }
  next_round_ = now;
}

TimePoint Membership::AuthorityUntil(std::uint64_t key) const {
  if (state_ != MemberState::kAlive || is_isolated_) {
    return DecisionAuthority::kNone;
  }
  const std::uint64_t own_weight = RankWeight(key, self_);
  for (const InstanceId id : fenced_) {
    if (RankWeight(key, id) > own_weight) return DecisionAuthority::kNone;
  }
  return std::min(authority_.ValidUntil(view_, ineligible_peers_, key),
                  ExternalContactUntil());
}

TimePoint Membership::AuthorityUntil() const {
  if (!IsLarge()) {
    if (!fenced_.empty()) return DecisionAuthority::kNone;
    return AuthorityUntil(0);
  }
  TimePoint until = TimePoint::max();
  for (const std::uint64_t key : keys_) {
    if (HighestRankedInstance(view_, domain_, key) != self_) continue;
    until = std::min(until, AuthorityUntil(key));
  }
  return until == TimePoint::max() ? DecisionAuthority::kNone : until;
}

bool Membership::HasCurrentEchoes(TimePoint now) {
  // The sender of the current message may just have become a peer.
  Refresh(now);
  const bool is_alone = PresentNeighbours().empty();
  if (is_alone && !table_.InDomain(domain_).empty()) return false;
  if (!IsLarge()) {
    // All members have to echo, whatever the key.
    return now < authority_.ValidUntil(view_, ineligible_peers_, 0);
  }
  return std::all_of(keys_.begin(), keys_.end(), [&](std::uint64_t key) {
    return HighestRankedInstance(view_, domain_, key) != self_ ||
           now < authority_.ValidUntil(view_, ineligible_peers_, key);
  });
}

TimePoint Membership::ExternalContactUntil() const {
  bool has_dead = false;
  bool has_other_domains = false;
  for (const Member& member : view_.members()) {
    if (member.id == self_) continue;
    if (member.domain != domain_) {
      has_other_domains = true;
    } else if (MemberView::IsEligible(member)) {
      return TimePoint::max();
    } else if (member.state == MemberState::kDead) {
      has_dead = true;
    }
  }
  if (!has_dead || !has_other_domains) return TimePoint::max();
  return external_echo_sent_at_ + kExternalContactLifetime;
}

void Membership::OnPause(Duration gap, TimePoint now) {
  may_raise_incarnation_ = false;
  // Silence of the others during the pause is no evidence of a failure.
  for (auto& [id, record] : table_.records()) record.last_heard = now;
  for (auto& [domain, heard] : domain_heard_) heard = now;
  if (gap < kDeadAfter || state_ != MemberState::kAlive) return;
  // The others may have declared this instance dead, and instances unknown to
  // it may have joined.
  Rejoin(now);
}

void Membership::Rejoin(TimePoint now) {
  incarnation_ = Incarnation{Value(incarnation_) + 1};
  for (const InstanceId id : table_.InDomain(domain_)) {
    MemberRecord& record = *table_.Find(id);
    if (record.state() != MemberState::kDead) continue;
    record.lifecycle = InstanceLifecycle();
    record.is_heard = false;
    record.last_heard = now;
    record.last_probe = {};
  }
  BeginJoining(now, kDeadAfter);
}

void Membership::CheckIsolation(TimePoint now) {
  const bool was_isolated = is_isolated_;
  is_isolated_ = now >= ExternalContactUntil();
  if (!was_isolated || is_isolated_) return;
  // Contact is back, but the view was not updated during the isolation.
  if (state_ == MemberState::kAlive || state_ == MemberState::kJoining) {
    Rejoin(now);
  }
}

void Membership::UpdateFences(TimePoint now) {
  fenced_.clear();
  ineligible_peers_.clear();
  for (const InstanceId id : table_.InDomain(domain_)) {
    MemberRecord& record = *table_.Find(id);
    const MemberState state = record.state();
    const bool is_replaced = record.predecessor_expires > now;
    const bool is_joining = state == MemberState::kJoining && record.is_heard;
    if (!MemberView::IsEligible({id, domain_, state, {}}) &&
        (is_joining || is_replaced)) {
      ineligible_peers_.push_back(id);
    }
    const bool is_unconfirmed = state == MemberState::kDead && !IsLarge() &&
                                !IsDeathConfirmed(record, now);
    if (is_replaced || is_unconfirmed) fenced_.push_back(id);
  }
}

bool Membership::IsDeathConfirmed(MemberRecord& record, TimePoint now) {
  if (record.is_death_confirmed) return true;
  bool is_alone = true;
  for (const InstanceId id : table_.InDomain(domain_)) {
    const MemberState state = table_.Find(id)->state();
    if (!MemberView::IsEligible({id, domain_, state, {}})) continue;
    if (!record.confirmers.contains(id)) return false;
    is_alone = false;
  }
  // Without other members to confirm the death, the dead get time to answer.
  if (is_alone && now - record.changed_at < kTakeoverProbeTime) return false;
  record.is_death_confirmed = true;
  return true;
}

void Membership::BeginJoining(TimePoint now, Duration min_joining_time) {
  state_ = MemberState::kJoining;
  joining_since_ = now;
  min_joining_time_ = min_joining_time;
  external_echo_missing_at_ = now;
  authority_.Withdraw();
  next_round_ = now;
  is_view_stale_ = true;
}

void Membership::TryFinishJoining(TimePoint now) {
  if (!is_ready_ || is_isolated_ || now - joining_since_ < min_joining_time_) {
    external_echo_missing_at_ = now;
    return;
  }
  std::size_t echoed = 0;
  std::size_t missing = 0;
  bool has_unheard = false;
  for (const InstanceId id : table_.InDomain(domain_)) {
    const MemberRecord& record = *table_.Find(id);
    const MemberState state = record.state();
    if (state == MemberState::kJoining && !record.is_heard) has_unheard = true;
    const bool is_counted = MemberView::IsEligible({id, domain_, state, {}}) ||
                            (state == MemberState::kJoining && record.is_heard);
    if (!is_counted) continue;
    authority_.HasEchoed(id) ? ++echoed : ++missing;
  }
  // Only without neighbours, so that a normal start needs no extra messages.
  if (echoed > 0) external_echo_missing_at_ = now;
  const bool is_known_externally = echoed == 0 && ContactOtherDomains(now);
  // In a large domain not every member sends heartbeats to this one; the ring
  // neighbours have gossiped what they know.
  if (IsLarge() ? echoed < 2 : missing > 0 || has_unheard) return;
  // Without any neighbour, it waits for the instance list and the other domains
  // to report members that it does not know of.
  if (echoed == 0) {
    if (now - joining_since_ < kDeadAfter || !is_known_externally) return;
  }
  state_ = MemberState::kAlive;
  may_raise_incarnation_ = false;
  // Only the echo of a heartbeat sent after joining proves that the others rank
  // this instance.
  authority_.Withdraw();
  next_round_ = now;
  is_view_stale_ = true;
  Refresh(now);
}

std::vector<InstanceId> Membership::PresentNeighbours() const {
  std::vector<InstanceId> present;
  for (const Member& member : view_.members()) {
    if (member.domain != domain_ || member.id == self_) continue;
    if (member.state == MemberState::kDead) continue;
    if (member.state == MemberState::kLeft) continue;
    present.push_back(member.id);
  }
  return present;
}

void Membership::Refresh(TimePoint now) {
  if (!is_view_stale_ && view_table_revision_ == table_.revision()) return;
  UpdateFences(now);
  is_view_stale_ = false;
  view_table_revision_ = table_.revision();
  ++revision_;
  std::vector<Member> members = table_.Members();
  members.push_back({self_, domain_, state_, incarnation_});
  view_ = MemberView(std::move(members));
  const std::vector<InstanceId> present = PresentNeighbours();
  is_large_ = present.size() >= kFullMeshLimit;
  plan_ = MakeHeartbeatPlan(self_, domain_, present, view_, keys_);
  std::vector<InstanceId> planned = plan_.neighbours;
  planned.insert(planned.end(), plan_.successors.begin(),
                 plan_.successors.end());
  std::sort(planned.begin(), planned.end());
  for (const InstanceId id : table_.InDomain(domain_)) {
    MemberRecord& record = *table_.Find(id);
    const bool is_planned =
        std::binary_search(planned.begin(), planned.end(), id);
    if (is_planned && !record.is_monitored) record.last_heard = now;
    record.is_monitored = is_planned;
  }
}

}  // namespace sapphirestream
