// Detection of silent members and silent domains.
#include <algorithm>
#include <utility>

#include "sapphirestream/domain/membership.h"
#include "sapphirestream/domain/timing.h"

namespace sapphirestream {
namespace {

constexpr Duration kProbeInterval = std::chrono::milliseconds(400);
// Dead members and silent domains are sent heartbeats at these intervals, so
// that a partition heals without the platform's help.
constexpr Duration kReconnectInterval = std::chrono::seconds(1);
constexpr Duration kDomainInterval = std::chrono::seconds(1);
// Heartbeat interval towards a domain whose last answer is overdue.
constexpr Duration kDomainRetryInterval = std::chrono::milliseconds(250);
// At 10% packet loss, nine retries before kDeadAfter make a false death verdict
// improbable (0.19 to the power of 9 for each silent second).
constexpr Duration kDomainOverdueAfter = std::chrono::milliseconds(1'100);
// Dead members that the platform no longer lists are removed after this time.
constexpr Duration kRemoveAfter = std::chrono::seconds(60);
// Interval of the heartbeats to dead members within kTakeoverProbeTime.
constexpr Duration kTakeoverProbeInterval = std::chrono::milliseconds(200);
constexpr std::size_t kIndirectProbes = 3;
// Probes per check of members without any message so far; limits the traffic at
// the start in a domain of 1,500 to 7 KB/s.
constexpr std::size_t kFirstProbesPerCheck = 8;

}  // namespace

bool Membership::ContactOtherDomains(TimePoint now) {
  const bool is_due = now >= next_external_contact_;
  if (is_due) next_external_contact_ = now + kCheckInterval;
  std::size_t sent = 0;
  for (auto& [id, record] : table_.records()) {
    if (record.domain == domain_ || authority_.HasEchoed(id)) continue;
    const MemberState state = record.state();
    const bool is_counted =
        MemberView::IsEligible({id, record.domain, state, {}}) ||
        (state == MemberState::kJoining && record.is_heard);
    if (!is_counted) continue;
    external_echo_missing_at_ = now;
    if (!is_due || sent >= kFirstProbesPerCheck) continue;
    if (now - record.last_sent < kProbeInterval) continue;
    ++sent;
    SendHeartbeat(id, now);
  }
  return now - external_echo_missing_at_ >= kExternalContactLifetime;
}

void Membership::CheckOwnDomain(TimePoint now) {
  std::size_t first_probes = 0;
  const std::vector<InstanceId> ids = table_.InDomain(domain_);
  for (const InstanceId id : ids) {
    MemberRecord& record = *table_.Find(id);
    if (record.state() == MemberState::kJoining && !record.is_heard) {
      const bool is_first = record.last_probe == TimePoint{};
      if (now - record.last_probe < kProbeInterval) continue;
      if (is_first && ++first_probes > kFirstProbesPerCheck) continue;
      if (is_first) record.last_heard = now;
      record.last_probe = now;
      SendProbe(id, id, now);
    }
    CheckSilence(id, record, now);
  }
  std::vector<InstanceId> dead;
  for (const InstanceId id : ids) {
    MemberRecord& record = *table_.Find(id);
    if (record.state() != MemberState::kDead) continue;
    dead.push_back(id);
    const bool is_recent = now - record.changed_at < kTakeoverProbeTime;
    if (!is_recent || now - record.last_sent < kTakeoverProbeInterval) continue;
    if (!IsLarge()) SendHeartbeat(id, now);
  }
  if (now < next_reconnect_) return;
  next_reconnect_ = now + kReconnectInterval;
  if (!dead.empty()) SendHeartbeat(dead[random_.Below(dead.size())], now);
}

void Membership::CheckSilence(InstanceId id, MemberRecord& record,
                              TimePoint now) {
  const Duration silence = now - record.last_heard;
  const MemberState state = record.state();
  if (state == MemberState::kJoining || state == MemberState::kLeaving) {
    const bool is_watched = record.is_monitored || record.is_reported_dead ||
                            !record.is_heard || state == MemberState::kLeaving;
    if (is_watched && silence >= kDeadAfter) {
      table_.Process(id, record, InstanceEvent::kExpired, now);
    }
    return;
  }
  if (!MemberView::IsEligible({id, domain_, state, {}})) return;
  if (!record.is_monitored && !record.is_reported_dead) return;
  if (silence < kSuspectAfter) return;
  if (silence >= kDeadAfter) {
    table_.Process(id, record, InstanceEvent::kExpired, now);
    return;
  }
  table_.Process(id, record, InstanceEvent::kSilent, now);
  if (now - record.last_probe < kProbeInterval) return;
  record.last_probe = now;
  SendProbe(id, id, now);
  const std::vector<InstanceId>& ids = table_.InDomain(domain_);
  const std::size_t start = random_.Below(ids.size());
  std::size_t sent = 0;
  for (std::size_t i = 0; i < ids.size() && sent < kIndirectProbes; ++i) {
    const InstanceId helper = ids[(start + i) % ids.size()];
    if (helper == id) continue;
    if (table_.Find(helper)->state() != MemberState::kAlive) continue;
    SendProbe(helper, id, now);
    ++sent;
  }
}

void Membership::CheckOtherDomains(TimePoint now) {
  // Another domain is monitored as a whole; the death of one of its members is
  // learned from its other members.
  for (const auto& [domain, ids] : table_.domains()) {
    if (domain == domain_) continue;
    const Duration silence =
        now - domain_heard_.try_emplace(domain, now).first->second;
    TimePoint& next = domain_next_[domain];
    if (next == TimePoint{}) {
      next = now + Duration(random_.Below(
                       static_cast<std::uint64_t>(kDomainInterval.count())));
    }
    if (now >= next) {
      const bool is_overdue =
          silence > kDomainOverdueAfter && silence < kDeadAfter;
      next = now + (is_overdue ? kDomainRetryInterval : kDomainInterval);
      SendToDomain(domain, now);
    }
    if (silence < kSuspectDomainAfter) continue;
    const InstanceEvent event = silence >= kDeadAfter ? InstanceEvent::kExpired
                                                      : InstanceEvent::kSilent;
    for (const InstanceId id : ids) {
      MemberRecord& record = *table_.Find(id);
      if (!MemberView::IsEligible({id, domain, record.state(), {}})) continue;
      record.is_domain_silent = true;
      table_.Process(id, record, event, now);
    }
  }
}

void Membership::RemoveExpired(TimePoint now) {
  std::vector<InstanceId> removed;
  for (const auto& [id, record] : table_.records()) {
    if (record.is_listed || now - record.changed_at < kRemoveAfter) continue;
    if (record.state() == MemberState::kDead ||
        record.state() == MemberState::kLeft) {
      removed.push_back(id);
    }
  }
  for (const InstanceId id : removed) table_.Erase(id);
}

}  // namespace sapphirestream
