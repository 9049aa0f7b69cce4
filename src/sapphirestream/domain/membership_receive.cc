// The part of Membership that takes messages and the news in them.
#include <algorithm>
#include <variant>

#include "sapphirestream/domain/membership.h"
#include "sapphirestream/domain/timing.h"

namespace sapphirestream {
namespace {

// A heartbeat from an instance outside the plan is replied to, unless one was
// sent to it within this time: that heartbeat may itself be a reply, and two
// instances must not reply to each other for ever.
constexpr Duration kReplyGap = std::chrono::milliseconds(200);
// How long a probe's answer counts, or is passed on.
constexpr Duration kProbeLifetime = std::chrono::seconds(1);
constexpr std::size_t kMaxProbes = 4'096;
// Incarnations are milliseconds at the start of a run, so that a step of less
// than a second stays below those of later runs.
constexpr std::uint64_t kRaiseStep = 256;

}  // namespace

void Membership::OnMessage(InstanceId from, const DomainMessage& message,
                           TimePoint now) {
  if (from == self_ || from == kNoInstance || is_superseded_) return;
  if (const auto* heartbeat = std::get_if<Heartbeat>(&message)) {
    OnHeartbeat(from, *heartbeat, now);
  } else if (const auto* probe = std::get_if<Probe>(&message)) {
    OnProbe(from, *probe, now);
  } else if (const auto* ack = std::get_if<ProbeAck>(&message)) {
    OnProbeAck(from, *ack, now);
  } else if (const auto* leave = std::get_if<Leave>(&message)) {
    OnLeave(from, *leave, now);
  }
  Refresh(now);
}

void Membership::OnHeartbeat(InstanceId from, const Heartbeat& message,
                             TimePoint now) {
  MemberRecord& record = table_.Emplace(from, message.domain, now);
  OnDomainHeard(record.domain, now);
  const bool is_gone = record.state() == MemberState::kDead ||
                       record.state() == MemberState::kLeft;
  if (message.incarnation < record.incarnation ||
      (message.incarnation == record.incarnation && is_gone)) {
    // A stale incarnation. The sender renews itself when it learns how this
    // instance sees it; both may hold each other dead.
    for (const Member& news : message.members) {
      if (news.id == self_) MergeOwn(news, now);
    }
    if (now - record.last_sent < kReplyGap) return;
    record.last_sent = now;
    SendAccusation(
        from, {from, record.domain, record.state(), record.incarnation}, now);
    return;
  }
  const bool is_joining = std::any_of(
      message.members.begin(), message.members.end(),
      [from](const Member& member) {
        return member.id == from && member.state == MemberState::kJoining;
      });
  if (message.incarnation > record.incarnation) {
    table_.Renew(
        from, record, message.incarnation,
        is_joining ? InstanceEvent::kRejoined : InstanceEvent::kRenewed, now);
  } else if (!is_joining) {
    table_.Process(from, record, InstanceEvent::kHeard, now);
  }
  if (!record.is_heard) is_stale_ = true;
  record.is_heard = true;
  record.last_heard = now;
  record.sequence = std::max(record.sequence, message.sequence);
  if (message.leaving) {
    table_.Process(from, record, InstanceEvent::kLeaving, now);
  }
  for (const Member& news : message.members) {
    if (news.id == from) continue;
    Merge(record.domain, news, now);
    if (record.domain == domain_) NoteWord(from, news);
  }
  // After the news: an echo counts only together with the knowledge that the
  // peer had when it sent it.
  for (const HeartbeatEcho& echo : message.echoes) {
    if (echo.instance != self_) continue;
    const TimePoint sent_at = authority_.OnEcho(from, echo.sequence);
    if (record.domain == domain_) continue;
    outside_echo_ = std::max(outside_echo_, sent_at);
  }
  const bool is_planned =
      record.domain == domain_ &&
      std::find(plan_.neighbours.begin(), plan_.neighbours.end(), from) !=
          plan_.neighbours.end();
  if (!is_planned && now - record.last_sent >= kReplyGap) {
    SendHeartbeat(from, now);
  }
}

void Membership::OnDomainHeard(DomainId domain, TimePoint now) {
  TimePoint& heard = domain_heard_[domain];
  const Duration silence = now - heard;
  heard = now;
  if (domain == domain_ || silence < kSuspectDomainAfter) return;
  for (const InstanceId id : table_.InDomain(domain)) {
    MemberRecord& record = *table_.Find(id);
    if (record.state() != MemberState::kSuspect) continue;
    table_.Process(id, record, InstanceEvent::kHeard, now);
  }
}

void Membership::OnProbe(InstanceId from, const Probe& message, TimePoint now) {
  if (message.subject == self_) {
    sink_.Send(from, ProbeAck{self_, incarnation_, message.nonce});
    return;
  }
  if (table_.Find(message.subject) == nullptr) return;
  if (probes_.size() >= kMaxProbes) return;
  probes_.push_back({from, message.nonce, ++next_nonce_, now});
  sink_.Send(message.subject, Probe{message.subject, next_nonce_});
}

void Membership::OnProbeAck(InstanceId from, const ProbeAck& message,
                            TimePoint now) {
  while (!probes_.empty() && now - probes_.front().at > kProbeLifetime) {
    probes_.pop_front();
  }
  const auto it = std::find_if(
      probes_.begin(), probes_.end(),
      [&message](const Relay& relay) { return relay.nonce == message.nonce; });
  if (it == probes_.end()) return;
  const Relay relay = *it;
  probes_.erase(it);
  if (relay.origin != self_) {
    sink_.Send(relay.origin, ProbeAck{message.subject, message.incarnation,
                                      relay.origin_nonce});
    return;
  }
  MemberRecord* record = table_.Find(message.subject);
  if (record == nullptr || message.incarnation < record->incarnation) return;
  if (from == message.subject) OnDomainHeard(record->domain, now);
  record->last_heard = now;
  if (!record->is_heard) is_stale_ = true;
  record->is_heard = true;
  record->is_accused = false;
  if (record->state() == MemberState::kSuspect) {
    table_.Process(message.subject, *record, InstanceEvent::kHeard, now);
  }
}

void Membership::OnLeave(InstanceId from, const Leave& message, TimePoint now) {
  MemberRecord* record = table_.Find(from);
  if (record == nullptr || message.incarnation < record->incarnation) return;
  record->incarnation = message.incarnation;
  record->last_heard = now;
  table_.Process(from, *record, InstanceEvent::kLeaving, now);
}

void Membership::Merge(DomainId from_domain, const Member& news,
                       TimePoint now) {
  if (news.id == self_) {
    MergeOwn(news, now);
    return;
  }
  MemberRecord* record = table_.Find(news.id);
  if (record == nullptr) {
    MergeUnknown(news, now);
    return;
  }
  if (news.incarnation < record->incarnation) return;
  if (news.incarnation > record->incarnation) {
    table_.Renew(news.id, *record, news.incarnation,
                 news.state == MemberState::kJoining ? InstanceEvent::kRejoined
                                                     : InstanceEvent::kRenewed,
                 now);
  }
  switch (news.state) {
    case MemberState::kAlive:
      if (record->state() == MemberState::kJoining) {
        table_.Process(news.id, *record, InstanceEvent::kHeard, now);
      }
      break;
    case MemberState::kDead:
      MergeDead(from_domain, news, *record, now);
      break;
    case MemberState::kLeft:
    case MemberState::kLeaving:
      table_.Process(news.id, *record, InstanceEvent::kLeaving, now);
      if (news.state == MemberState::kLeft) {
        table_.Process(news.id, *record, InstanceEvent::kExpired, now);
      }
      break;
    case MemberState::kJoining:
    case MemberState::kSuspect:
      // Suspicion is each instance's own.
      break;
  }
}

void Membership::NoteWord(InstanceId from, const Member& news) {
  MemberRecord* record = table_.Find(news.id);
  if (record == nullptr || record->domain != domain_) return;
  if (news.incarnation < record->incarnation) return;
  if (news.state == MemberState::kDead || news.state == MemberState::kLeft) {
    record->confirmers.insert(from);
  } else {
    record->confirmers.erase(from);
  }
}

void Membership::MergeOwn(const Member& news, TimePoint now) {
  if (state_ == MemberState::kLeaving) return;
  const bool is_refuted =
      news.state == MemberState::kSuspect || news.state == MemberState::kDead ||
      news.state == MemberState::kLeaving || news.state == MemberState::kLeft;
  const bool is_newer = news.incarnation > incarnation_;
  if (!is_newer && (news.incarnation < incarnation_ || !is_refuted)) return;
  if (is_newer && !may_raise_) {
    // A process that just started may find a higher incarnation of an earlier
    // run, if the clock was set back, and goes above it once. Later, only
    // another running process can have raised it.
    is_superseded_ = true;
    state_ = MemberState::kLeft;
    authority_.Withdraw();
    is_stale_ = true;
    return;
  }
  if (is_newer) {
    may_raise_ = false;
    // Leaves the other process, if it still runs, time to learn of this one.
    joining_since_ = now;
    outside_missing_at_ = now;
    authority_.Withdraw();
  }
  // Refutations go up by one. Going above another run takes a step that it will
  // not make itself, so that two processes never share an incarnation.
  const std::uint64_t step =
      is_newer ? kRaiseStep + random_.Below(kRaiseStep) : 1;
  incarnation_ = Incarnation{Value(news.incarnation) + step};
  next_round_ = now;
  is_stale_ = true;
}

void Membership::MergeUnknown(const Member& news, TimePoint now) {
  if (news.id == kNoInstance) return;
  MemberRecord& record = table_.Emplace(news.id, news.domain, now);
  record.incarnation = news.incarnation;
  switch (news.state) {
    case MemberState::kJoining:
      break;
    case MemberState::kAlive:
    case MemberState::kSuspect:
      table_.Process(news.id, record, InstanceEvent::kHeard, now);
      break;
    case MemberState::kDead:
      table_.Process(news.id, record, InstanceEvent::kExpired, now);
      break;
    case MemberState::kLeaving:
    case MemberState::kLeft:
      table_.Process(news.id, record, InstanceEvent::kLeaving, now);
      if (news.state == MemberState::kLeaving) break;
      table_.Process(news.id, record, InstanceEvent::kExpired, now);
      break;
  }
}

void Membership::MergeDead(DomainId from_domain, const Member& news,
                           MemberRecord& record, TimePoint now) {
  const bool is_joining = record.state() == MemberState::kJoining;
  if (!is_joining &&
      !MemberView::IsEligible({news.id, record.domain, record.state(), {}})) {
    return;
  }
  const Duration silence = now - record.last_heard;
  if (record.domain == domain_) {
    if (from_domain != domain_) {
      // Another domain lost contact with a member of this one, which has to
      // renew itself to be taken back there.
      SendAccusation(news.id, news, now);
      return;
    }
    // Never dead by hearsay: a member that this instance hears, or that answers
    // its probes, may hold decision authority.
    if (silence < kSuspectAfter || record.is_accused) return;
    record.is_accused = true;
    record.last_heard = now - kSuspectAfter;
    table_.Process(news.id, record, InstanceEvent::kSilent, now);
    if (IsLarge()) table_.AddNews(news.id, record, now);
    return;
  }
  // Other domains tell of their own members, and the own domain passes it on.
  // Views of other domains serve redirects only.
  if (from_domain != record.domain && from_domain != domain_) return;
  if (record.is_heard && silence < kSuspectAfter) return;
  table_.Process(news.id, record, InstanceEvent::kExpired, now);
}

}  // namespace sapphirestream
