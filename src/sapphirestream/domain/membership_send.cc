// The part of Membership that makes and sends heartbeats and probes.
#include <algorithm>

#include "sapphirestream/domain/membership.h"
#include "sapphirestream/domain/timing.h"

namespace sapphirestream {
namespace {

// Entries of `members` in one heartbeat; at 15 bytes each they stay far below
// the size of a datagram.
constexpr std::size_t kMaxChanges = 12;
constexpr std::size_t kMaxForNewcomer = 16;
constexpr std::size_t kMaxAccusations = 2;
// A receiver counts as a newcomer for this long.
constexpr Duration kNewcomerTime = std::chrono::seconds(4);

void AddOnce(const Member& member, std::vector<Member>& out) {
  const bool is_present = std::any_of(
      out.begin(), out.end(),
      [&member](const Member& present) { return present.id == member.id; });
  if (!is_present) out.push_back(member);
}

}  // namespace

Member Membership::Describe(InstanceId id, const MemberRecord& record) const {
  // In a large domain an accusation is passed on at once: waiting for the own
  // probes would delay the news by two seconds at each hop. In a small one the
  // word "dead" confirms a takeover and has to be this instance's own verdict.
  const bool is_passed_on = record.is_accused && IsLarge();
  const MemberState state = is_passed_on ? MemberState::kDead : record.state();
  return {id, record.domain, state, record.incarnation};
}

void Membership::SendHeartbeat(InstanceId to, TimePoint now) {
  MemberRecord* record = table_.Find(to);
  if (record != nullptr) record->last_sent = now;
  Heartbeat heartbeat = MakeHeartbeat(to, record, now);
  heartbeat.sequence = authority_.NextSequence(now);
  AddNews(to, record, now, heartbeat.members);
  sink_.Send(to, heartbeat);
}

void Membership::SendAccusation(InstanceId to, const Member& subject,
                                TimePoint now) {
  Heartbeat heartbeat = MakeHeartbeat(to, nullptr, now);
  heartbeat.sequence = authority_.NextSequence(now);
  AddOnce(subject, heartbeat.members);
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
  // Only a peer that this instance ranks may derive authority from its echo.
  const bool may_echo = record != nullptr && record->is_heard &&
                        record->sequence != 0 && now >= record->echo_from &&
                        record->state() != MemberState::kDead &&
                        record->state() != MemberState::kLeft;
  if (may_echo) {
    heartbeat.echoes.push_back({to, record->sequence});
  }
  return heartbeat;
}

void Membership::AddNews(InstanceId to, const MemberRecord* record,
                         TimePoint now, std::vector<Member>& out) {
  // The receiver learns first that it is held dead, so that it can refute it. A
  // suspicion ends with its next heartbeat anyway.
  if (record != nullptr && record->state() == MemberState::kDead) {
    AddOnce(Describe(to, *record), out);
  }
  for (const InstanceId id : table_.Recent(now, kMaxChanges)) {
    const MemberRecord* changed = table_.Find(id);
    if (id == to || changed == nullptr || changed->is_cut_off) continue;
    AddOnce(Describe(id, *changed), out);
  }
  const std::vector<InstanceId>& own = table_.InDomain(domain_);
  const bool is_newcomer = record == nullptr ||
                           record->state() == MemberState::kJoining ||
                           now - record->since < kNewcomerTime;
  // One entry in turn repairs whatever a member has missed.
  const std::size_t count =
      std::min(own.size(), is_newcomer ? kMaxForNewcomer : 1);
  for (std::size_t i = 0; i < count; ++i) {
    InstanceId id = own[news_cursor_++ % own.size()];
    // Skipping the receiver must not use up its turn: a round goes through the
    // members in the same order as this.
    if (id == to) id = own[news_cursor_++ % own.size()];
    if (id != to) AddOnce(Describe(id, *table_.Find(id)), out);
  }
  if (record == nullptr || record->domain == domain_) return;
  // The receiver tells its neighbours that they are believed dead here.
  std::size_t accused = 0;
  const std::vector<InstanceId>& theirs = table_.InDomain(record->domain);
  for (std::size_t i = 0; i < theirs.size(); ++i) {
    const InstanceId id = theirs[(rounds_ + i) % theirs.size()];
    if (table_.Find(id)->state() != MemberState::kDead) continue;
    AddOnce(Describe(id, *table_.Find(id)), out);
    if (++accused == kMaxAccusations) break;
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
  // The instance's number as key spreads the senders over the receivers.
  InstanceId contact = FirstInstance(view_, domain, Value(self_));
  const bool is_overdue = now - domain_heard_[domain] > kSuspectDomainAfter;
  if (contact == kNoInstance || is_overdue) {
    contact = ids[random_.Below(ids.size())];
  }
  SendHeartbeat(contact, now);
}

void Membership::SendProbe(InstanceId to, InstanceId subject, TimePoint now) {
  probes_.push_back({self_, 0, ++next_nonce_, now});
  sink_.Send(to, Probe{subject, next_nonce_});
}

}  // namespace sapphirestream
