// The part of Membership that builds and sends heartbeats and probes.
#include <algorithm>

#include "sapphirestream/domain/membership.h"
#include "sapphirestream/domain/timing.h"

namespace sapphirestream {
namespace {

// Maximum number of recent changes in one heartbeat; at 15 bytes an entry they
// stay far below the size of a datagram.
constexpr std::size_t kMaxChanges = 12;
constexpr std::size_t kMaxChangesForNewMember = 16;
constexpr std::size_t kMaxDeathReports = 2;
// How long after its return a receiver is treated as a new member.
constexpr Duration kNewMemberPeriod = std::chrono::seconds(4);

void AddIfMissing(const Member& member, std::vector<Member>& out) {
  const bool is_present = std::any_of(
      out.begin(), out.end(),
      [&member](const Member& present) { return present.id == member.id; });
  if (!is_present) out.push_back(member);
}

}  // namespace

Member Membership::Describe(InstanceId id, const MemberRecord& record) const {
  // In a large domain a death report is gossiped at once: waiting for this
  // instance's own probes would delay it by two seconds at each hop. In a small
  // domain the state "dead" confirms a takeover, so it must be this instance's
  // own verdict.
  const bool is_passed_on = record.is_reported_dead && IsLarge();
  const MemberState state = is_passed_on ? MemberState::kDead : record.state();
  return {id, record.domain, state, record.incarnation};
}

void Membership::SendHeartbeat(InstanceId to, TimePoint now) {
  MemberRecord* record = table_.Find(to);
  if (record != nullptr) record->last_sent = now;
  Heartbeat heartbeat = MakeHeartbeat(to, record, now);
  heartbeat.sequence = authority_.NextSequence(now);
  AddMemberUpdates(to, record, now, heartbeat.members);
  sink_.Send(to, heartbeat);
}

void Membership::SendDeathReport(InstanceId to, const Member& subject,
                                 TimePoint now) {
  Heartbeat heartbeat = MakeHeartbeat(to, nullptr, now);
  heartbeat.sequence = authority_.NextSequence(now);
  AddIfMissing(subject, heartbeat.members);
  sink_.Send(to, heartbeat);
}

Heartbeat Membership::MakeHeartbeat(InstanceId to, const MemberRecord* record,
                                    TimePoint now) const {
  Heartbeat heartbeat;
  heartbeat.domain = domain_;
  heartbeat.incarnation = incarnation_;
  heartbeat.prepared = prepared_;
  heartbeat.active = active_;
  heartbeat.leaving = state_ == MemberState::kLeaving;
  if (state_ == MemberState::kJoining) {
    heartbeat.members.push_back({self_, domain_, state_, incarnation_});
  }
  // A peer may derive authority from an echo only if this instance ranks it.
  const bool may_echo = record != nullptr && record->is_heard &&
                        record->sequence != 0 &&
                        now >= record->predecessor_expires &&
                        record->state() != MemberState::kDead &&
                        record->state() != MemberState::kLeft;
  if (may_echo) {
    heartbeat.echoes.push_back({to, record->sequence});
  }
  return heartbeat;
}

void Membership::AddMemberUpdates(InstanceId to, const MemberRecord* record,
                                  TimePoint now, std::vector<Member>& out) {
  // A receiver that is considered dead is told so first, so that it can refute
  // it. A suspicion ends with its next heartbeat anyway.
  if (record != nullptr && record->state() == MemberState::kDead) {
    AddIfMissing(Describe(to, *record), out);
  }
  for (const InstanceId id : table_.RecentChanges(now, kMaxChanges)) {
    const MemberRecord* changed = table_.Find(id);
    if (id == to || changed == nullptr || changed->is_domain_silent) continue;
    AddIfMissing(Describe(id, *changed), out);
  }
  const std::vector<InstanceId>& own = table_.InDomain(domain_);
  const bool is_new_member = record == nullptr ||
                             record->state() == MemberState::kJoining ||
                             now - record->present_since < kNewMemberPeriod;
  // One member in turn is added to each heartbeat as anti-entropy, in case the
  // receiver missed an earlier update.
  const std::size_t count =
      std::min(own.size(), is_new_member ? kMaxChangesForNewMember : 1);
  for (std::size_t i = 0; i < count; ++i) {
    InstanceId id = own[update_cursor_++ % own.size()];
    // The receiver is replaced by the next member rather than skipped: a round
    // visits the members in this same order, so every heartbeat could meet its
    // own receiver.
    if (id == to) id = own[update_cursor_++ % own.size()];
    if (id != to) AddIfMissing(Describe(id, *table_.Find(id)), out);
  }
  if (record == nullptr || record->domain == domain_) return;
  // The receiver tells its neighbours that this instance considers them dead.
  std::size_t report_count = 0;
  const std::vector<InstanceId>& theirs = table_.InDomain(record->domain);
  for (std::size_t i = 0; i < theirs.size(); ++i) {
    const InstanceId id = theirs[(rounds_ + i) % theirs.size()];
    if (table_.Find(id)->state() != MemberState::kDead) continue;
    AddIfMissing(Describe(id, *table_.Find(id)), out);
    if (++report_count == kMaxDeathReports) break;
  }
}

void Membership::SendRound(TimePoint now) {
  ++rounds_;
  for (const InstanceId id : plan_.neighbours) SendHeartbeat(id, now);
  if (rounds_ % 2 != 0) return;
  for (const InstanceId id : plan_.successors) SendHeartbeat(id, now);
}

void Membership::SendToDomain(DomainId domain, TimePoint now) {
  const std::vector<InstanceId>& ids = table_.InDomain(domain);
  // Using the own id as the key spreads the senders over the receivers.
  InstanceId contact = HighestRankedInstance(view_, domain, Value(self_));
  const bool is_overdue = now - domain_heard_[domain] > kSuspectDomainAfter;
  if (contact == kNoInstance || is_overdue) {
    contact = ids[random_.Below(ids.size())];
  }
  SendHeartbeat(contact, now);
}

void Membership::SendProbe(InstanceId to, InstanceId subject, TimePoint now) {
  pending_probes_.push_back({self_, 0, ++next_nonce_, now});
  sink_.Send(to, Probe{subject, next_nonce_});
}

}  // namespace sapphirestream
