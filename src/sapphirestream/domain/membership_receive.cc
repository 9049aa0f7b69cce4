// The part of Membership that handles messages and merges member updates.
#include <algorithm>
#include <variant>

#include "sapphirestream/domain/membership.h"
#include "sapphirestream/domain/timing.h"

namespace sapphirestream {
namespace {

// A heartbeat from an instance outside the plan is answered, unless one was
// sent to it within this time: the heartbeat may itself be an answer, and two
// instances must not answer each other in an endless loop.
constexpr Duration kReplyGap = std::chrono::milliseconds(200);
// How long an answer to a probe is accepted or relayed.
constexpr Duration kProbeLifetime = std::chrono::seconds(1);
constexpr std::size_t kMaxProbes = 4'096;
// Incarnations are the start time of a run in milliseconds, so a step of less
// than a second stays below the incarnations of later runs.
constexpr std::uint64_t kIncarnationStep = 256;

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
    // Stale incarnation. The sender raises its incarnation when it learns how
    // this instance sees it; each may consider the other dead.
    for (const Member& update : message.members) {
      if (update.id == self_) MergeOwn(update, now);
    }
    // The heartbeats sent to its successor do not delay the answer to a
    // replaced process. It then sends nothing any more, unless it is leaving.
    const bool is_replaced =
        message.incarnation < record.incarnation && !message.leaving;
    if (!is_replaced && now - record.last_sent < kReplyGap) return;
    record.last_sent = now;
    SendDeathReport(
        from, {from, record.domain, record.state(), record.incarnation}, now);
    return;
  }
  const bool is_joining = std::any_of(
      message.members.begin(), message.members.end(),
      [from](const Member& member) {
        return member.id == from && member.state == MemberState::kJoining;
      });
  if (message.incarnation > record.incarnation) {
    table_.AdoptIncarnation(
        from, record, message.incarnation,
        is_joining ? InstanceEvent::kRejoined : InstanceEvent::kRenewed, now);
  } else if (!is_joining) {
    table_.Process(from, record, InstanceEvent::kHeard, now);
  }
  if (!record.is_heard) is_view_stale_ = true;
  record.is_heard = true;
  record.last_heard = now;
  record.sequence = std::max(record.sequence, message.sequence);
  if (message.leaving) {
    table_.Process(from, record, InstanceEvent::kLeaving, now);
  }
  for (const Member& update : message.members) {
    if (update.id == from) continue;
    Merge(record.domain, update, now);
    if (record.domain == domain_) RecordReportedState(from, update);
  }
  // Echoes are handled after the member updates: an echo counts only together
  // with the state that the peer knew when it sent it.
  for (const HeartbeatEcho& echo : message.echoes) {
    if (echo.instance != self_) continue;
    // The process that the peer replaced may have taken over and still decide;
    // the new process does not know that.
    if (record.domain == domain_ && now < record.predecessor_expires) continue;
    const TimePoint sent_at = authority_.OnEcho(from, echo.sequence);
    if (record.domain == domain_) continue;
    external_echo_sent_at_ = std::max(external_echo_sent_at_, sent_at);
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
  if (pending_probes_.size() >= kMaxProbes) return;
  pending_probes_.push_back({from, message.nonce, ++next_nonce_, now});
  sink_.Send(message.subject, Probe{message.subject, next_nonce_});
}

void Membership::OnProbeAck(InstanceId from, const ProbeAck& message,
                            TimePoint now) {
  while (!pending_probes_.empty() &&
         now - pending_probes_.front().at > kProbeLifetime) {
    pending_probes_.pop_front();
  }
  const auto it = std::find_if(pending_probes_.begin(), pending_probes_.end(),
                               [&message](const PendingProbe& pending) {
                                 return pending.nonce == message.nonce;
                               });
  if (it == pending_probes_.end()) return;
  const PendingProbe pending = *it;
  pending_probes_.erase(it);
  if (pending.origin != self_) {
    sink_.Send(pending.origin, ProbeAck{message.subject, message.incarnation,
                                        pending.origin_nonce});
    return;
  }
  MemberRecord* record = table_.Find(message.subject);
  if (record == nullptr || message.incarnation < record->incarnation) return;
  if (from == message.subject) OnDomainHeard(record->domain, now);
  record->last_heard = now;
  if (!record->is_heard) is_view_stale_ = true;
  record->is_heard = true;
  record->is_reported_dead = false;
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

void Membership::Merge(DomainId from_domain, const Member& update,
                       TimePoint now) {
  if (update.id == self_) {
    MergeOwn(update, now);
    return;
  }
  MemberRecord* record = table_.Find(update.id);
  if (record == nullptr) {
    MergeUnknown(update, now);
    return;
  }
  if (update.incarnation < record->incarnation) return;
  if (update.incarnation > record->incarnation) {
    table_.AdoptIncarnation(update.id, *record, update.incarnation,
                            update.state == MemberState::kJoining
                                ? InstanceEvent::kRejoined
                                : InstanceEvent::kRenewed,
                            now);
  }
  switch (update.state) {
    case MemberState::kAlive:
      if (record->state() == MemberState::kJoining) {
        table_.Process(update.id, *record, InstanceEvent::kHeard, now);
      }
      break;
    case MemberState::kDead:
      MergeDead(from_domain, update, *record, now);
      break;
    case MemberState::kLeft:
    case MemberState::kLeaving:
      table_.Process(update.id, *record, InstanceEvent::kLeaving, now);
      if (update.state == MemberState::kLeft) {
        table_.Process(update.id, *record, InstanceEvent::kExpired, now);
      }
      break;
    case MemberState::kJoining:
    case MemberState::kSuspect:
      // Suspicion is local to each instance.
      break;
  }
}

void Membership::RecordReportedState(InstanceId from, const Member& update) {
  MemberRecord* record = table_.Find(update.id);
  if (record == nullptr || record->domain != domain_) return;
  if (update.incarnation < record->incarnation) return;
  if (update.state == MemberState::kDead ||
      update.state == MemberState::kLeft) {
    record->confirmers.insert(from);
  } else {
    record->confirmers.erase(from);
  }
}

void Membership::MergeOwn(const Member& update, TimePoint now) {
  if (state_ == MemberState::kLeaving) return;
  const bool is_refuted = update.state == MemberState::kSuspect ||
                          update.state == MemberState::kDead ||
                          update.state == MemberState::kLeaving ||
                          update.state == MemberState::kLeft;
  const bool is_newer = update.incarnation > incarnation_;
  if (!is_newer && (update.incarnation < incarnation_ || !is_refuted)) return;
  if (is_newer && !may_raise_incarnation_) {
    // If the clock was set back, a process that just started may find a higher
    // incarnation of an earlier run; it goes above it once. Later, only another
    // running process can have raised the incarnation.
    is_superseded_ = true;
    state_ = MemberState::kLeft;
    authority_.Withdraw();
    is_view_stale_ = true;
    return;
  }
  if (!is_newer && !HasCurrentEchoes(now)) {
    // Another member may have taken over, possibly one that is dead in the view
    // of this instance.
    Rejoin(now);
    return;
  }
  if (is_newer) {
    may_raise_incarnation_ = false;
    // Gives the other process, if it still runs, time to learn of this one.
    joining_since_ = now;
    external_echo_missing_at_ = now;
    authority_.Withdraw();
  }
  // A refutation raises the incarnation by one. Going above another run takes a
  // larger step than that run makes, so that two processes never share an
  // incarnation.
  const std::uint64_t step =
      is_newer ? kIncarnationStep + random_.Below(kIncarnationStep) : 1;
  incarnation_ = Incarnation{Value(update.incarnation) + step};
  next_round_ = now;
  is_view_stale_ = true;
}

void Membership::MergeUnknown(const Member& update, TimePoint now) {
  if (update.id == kNoInstance) return;
  MemberRecord& record = table_.Emplace(update.id, update.domain, now);
  record.incarnation = update.incarnation;
  switch (update.state) {
    case MemberState::kJoining:
      break;
    case MemberState::kAlive:
    case MemberState::kSuspect:
      table_.Process(update.id, record, InstanceEvent::kHeard, now);
      break;
    case MemberState::kDead:
      table_.Process(update.id, record, InstanceEvent::kExpired, now);
      break;
    case MemberState::kLeaving:
    case MemberState::kLeft:
      table_.Process(update.id, record, InstanceEvent::kLeaving, now);
      if (update.state == MemberState::kLeaving) break;
      table_.Process(update.id, record, InstanceEvent::kExpired, now);
      break;
  }
}

void Membership::MergeDead(DomainId from_domain, const Member& update,
                           MemberRecord& record, TimePoint now) {
  const bool is_joining = record.state() == MemberState::kJoining;
  if (!is_joining &&
      !MemberView::IsEligible({update.id, record.domain, record.state(), {}})) {
    return;
  }
  const Duration silence = now - record.last_heard;
  if (record.domain == domain_) {
    if (from_domain != domain_) {
      // Another domain lost contact with a member of this one. That member has
      // to raise its incarnation to be considered alive there again.
      SendDeathReport(update.id, update, now);
      return;
    }
    // A report alone never makes a member of the own domain dead: a member
    // whose messages or probe answers still arrive may hold decision authority.
    if (silence < kSuspectAfter || record.is_reported_dead) return;
    record.is_reported_dead = true;
    record.last_heard = now - kSuspectAfter;
    table_.Process(update.id, record, InstanceEvent::kSilent, now);
    if (IsLarge()) table_.AddRecentChange(update.id, record, now);
    return;
  }
  // The state of a member of another domain is accepted from that domain and,
  // relayed, from the own domain. It is used for redirects only.
  if (from_domain != record.domain && from_domain != domain_) return;
  if (record.is_heard && silence < kSuspectAfter) return;
  table_.Process(update.id, record, InstanceEvent::kExpired, now);
}

}  // namespace sapphirestream
