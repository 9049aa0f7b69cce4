// Detects lost targets by probes, and moves or resets their flows.
#include <algorithm>

#include "sapphirestream/edge/edge_steering.h"

namespace sapphirestream {

void EdgeSteering::ReportUnanswered(EdgeTarget& target,
                                    TimePoint unanswered_since, bool opening,
                                    TimePoint now) {
  if (const auto kind =
          target.health.OnUnanswered(unanswered_since, opening, now)) {
    StartProbe(target, *kind, now);
  }
}

void EdgeSteering::StartProbe(EdgeTarget& target, ProbeKind kind,
                              TimePoint now) {
  probes_.Add();
  // Repeated probes of an unreachable target need a control only if a request
  // may be reset because of them; otherwise they can only confirm the first
  // outcome.
  const bool needs_control =
      !IsUnreachable(target) || target.has_waiting_request;
  sink_.Probe(
      {.kind = kind,
       .target = target.record.key,
       .address = target.record.address,
       .health_path = routes_.SpecOf(target.service).health_path,
       .control = needs_control ? ControlFor(target, now) : std::nullopt});
}

void EdgeSteering::OnDomainUnreachable(const EdgeTarget& target,
                                       TimePoint begun, TimePoint now) {
  if (!evacuates_domains_ || target.is_local) return;
  const std::string& domain = target.record.domain;
  domains_.OnUnreachable(domain, target.record.key, begun);
  if (domains_.IsCutOff(domain, now)) {
    targets_.SetCutOff(domain, now + DomainReachability::kMaxEvidenceAge);
  }
}

void EdgeSteering::OnDomainAnswer(const EdgeTarget& target, TimePoint now) {
  if (!evacuates_domains_ || target.is_local) return;
  domains_.OnAnswer(target.record.domain, now);
  targets_.SetCutOff(target.record.domain, TimePoint{});
}

void EdgeSteering::OnTargetProgress(EdgeTarget& target, TimePoint now) {
  OnDomainAnswer(target, now);
  target.health.OnFlowProgress(now);
  targets_.OnAnswer(target, now);
  if (progress_[0].target != target.record.key) progress_[1] = progress_[0];
  progress_[0] = {target.record.key, target.record.address, now};
}

std::optional<V4Endpoint> EdgeSteering::ControlFor(const EdgeTarget& target,
                                                   TimePoint now) const {
  const Progress& latest =
      progress_[progress_[0].target == target.record.key ? 1 : 0];
  if (latest.target == TargetKey{} || now - latest.at > kControlMaxAge) {
    return std::nullopt;
  }
  return latest.address;
}

void EdgeSteering::OnProbe(TargetKey key, const ProbeResult& result,
                           TimePoint now) {
  const ProbeOutcome outcome = result.outcome;
  const TimePoint begun = result.begun;
  EdgeTarget* const target = targets_.Find(key);
  if (target == nullptr) return;
  if (!target->health.IsValid(begun)) {
    log_.ProbeIgnored(*target, outcome, begun, now);
    return;
  }
  const bool was_unreachable = IsUnreachable(*target);
  const bool is_path_suspect = IsPathSuspect(target->service);
  const bool became_unreachable = target->health.OnProbe(outcome, begun, now);
  OnAddressProbe(*target, result);
  if (outcome == ProbeOutcome::kSilent || outcome == ProbeOutcome::kRefused) {
    OnDomainUnreachable(*target, begun, now);
  } else if (outcome != ProbeOutcome::kFailed) {
    OnDomainAnswer(*target, now);
  }
  if (!was_unreachable || !IsUnreachable(*target)) {
    log_.Probed(*target, outcome, begun, now);
  }
  if (IsUnreachable(*target)) {
    AddUnreachable(key, now);
  } else if (was_unreachable && evacuates_domains_ && !is_path_suspect) {
    // It may have restarted, which its entry may not show yet.
    targets_.SetCold(*target, now);
  }
  if (became_unreachable || target->has_waiting_request) {
    FailOverFlows(*target, now);
  }
  ConfirmAddresses(now);
  std::erase_if(openings_awaiting_probe_, [this](const Opening& opening) {
    return !IsAwaitingProbe(opening);
  });
}

bool EdgeSteering::IsPathSuspect(ServiceNumber service) const {
  std::size_t listed = 0;
  std::size_t unreachable = 0;
  for (const EdgeTarget* const target : targets_.OfService(service)) {
    if (target->presence != TargetPresence::kListed) continue;
    ++listed;
    if (IsUnreachable(*target)) ++unreachable;
  }
  return unreachable * 2 > listed;
}

void EdgeSteering::AddUnreachable(TargetKey target, TimePoint now) {
  if (unreachable_.empty()) {
    next_recheck_ = now + TargetHealth::kRecheckInterval;
  }
  const auto it = std::find(unreachable_.begin(), unreachable_.end(), target);
  if (it == unreachable_.end()) unreachable_.push_back(target);
}

void EdgeSteering::RecheckUnreachable(TimePoint now) {
  if (unreachable_.empty() || now < next_recheck_) return;
  std::erase_if(unreachable_, [this](TargetKey key) {
    const EdgeTarget* const target = targets_.Find(key);
    return target == nullptr || !IsUnreachable(*target);
  });
  for (const TargetKey key : unreachable_) {
    EdgeTarget& target = *targets_.Find(key);
    if (target.presence != TargetPresence::kGone &&
        target.health.StartRecheckIfDue(now)) {
      StartProbe(target, ProbeKind::kIdentity, now);
    }
  }
  next_recheck_ = now + TargetHealth::kRecheckInterval;
}

void EdgeSteering::FailOverFlows(EdgeTarget& target, TimePoint now) {
  for (const Opening& opening : openings_awaiting_probe_) {
    CachedFlow* const flow = flows_.Find(opening.client, opening.service);
    const Route* const route = routes_.Find(opening.service);
    if (flow != nullptr && route != nullptr &&
        flow->phase == FlowPhase::kOpening &&
        flow->target == target.record.key) {
      MoveOpening(*flow, *route, {opening.bytes.data(), opening.size}, now);
    }
  }
  target.has_waiting_request = false;
  if (!IsUnreachable(target)) return;
  flows_.ForEach([&](CachedFlow& flow) {
    if (flow.target != target.record.key) return;
    const Route* const route = routes_.Find(flow.service);
    if (route == nullptr || !IsResettable(flow, *route, target)) return;
    if (IsLost(flow, target, now)) {
      ResetFlow(flow, target, {}, now);
    } else {
      target.has_waiting_request = true;
    }
  });
}

bool EdgeSteering::IsUnreachable(const EdgeTarget& target) noexcept {
  return target.health.state() == Reachability::kUnreachable;
}

bool EdgeSteering::IsPresent(const EdgeTarget& target) noexcept {
  return target.listing == TargetPresence::kListed && !target.claim.IsDenied();
}

bool EdgeSteering::IsResettable(const CachedFlow& flow, const Route& route,
                                const EdgeTarget& target) noexcept {
  // A draining target may refuse connections while it completes its flows.
  if (target.record.draining && IsPresent(target)) return false;
  // The target may be unreachable only from this instance, so it may still
  // process a request that must not run twice and answer the client directly.
  return flow.phase == FlowPhase::kOpen && flow.waiting &&
         route.kind == RequestKind::kIdempotent;
}

bool EdgeSteering::IsLost(const CachedFlow& flow, const EdgeTarget& target,
                          TimePoint now) noexcept {
  // Consecutive failed probes that suffice to reset a flow without a
  // retransmission.
  constexpr std::uint32_t min_failed_probes = 2;
  // The address may be that of another writer's entry.
  if (target.name_check == NameCheck::kPending) return false;
  if (!target.health.IsLostSince(flow.waiting_since, now)) return false;
  return flow.repeats > 0 ||
         target.health.failed_probes() >= min_failed_probes ||
         target.listing == TargetPresence::kGone || target.claim.IsDenied();
}

void EdgeSteering::ProbeForPacket(const CachedFlow& flow, const Route& route,
                                  EdgeTarget& target, TimePoint now) {
  if (IsUnreachable(target)) {
    if (!IsResettable(flow, route, target)) return;
    target.has_waiting_request = true;
    if (target.health.IsLostSince(flow.waiting_since, now)) return;
  } else if (target.presence != TargetPresence::kGone) {
    return;
  }
  if (target.health.StartIdentityProbeIfDue(now)) {
    StartProbe(target, ProbeKind::kIdentity, now);
  }
}

void EdgeSteering::ResetFlow(CachedFlow& flow, const EdgeTarget& target,
                             std::string_view request_id, TimePoint now) {
  resets_.Add();
  log_.Reset(flow, target, request_id, now);
  EndRequest(flow);
  if (flow.phase == FlowPhase::kOpen) {
    sink_.Reset({flow.client, flow.service, flow.acknowledged});
    return;
  }
  flow.phase = FlowPhase::kNone;
  sink_.Reset({flow.client, flow.service, 0});
}

}  // namespace sapphirestream
