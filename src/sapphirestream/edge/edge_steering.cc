// Opening packets and timers. edge_steering_flows.cc handles the packets of
// established flows, edge_steering_failover.cc lost targets,
// edge_steering_addresses.cc targets with one address, and
// edge_steering_routes.cc packets without a route.
#include "sapphirestream/edge/edge_steering.h"

#include <algorithm>
#include <utility>

#include "sapphirestream/base/id.h"

namespace sapphirestream {

EdgeSteering::EdgeSteering(RouteTable& routes, TargetDirectory& targets,
                           EdgeSink& sink, EdgeLog& log, CounterSet& counters,
                           const SteeringDecisions& decisions,
                           const SteeringOptions& options)
    : routes_(routes),
      targets_(targets),
      sink_(sink),
      log_(log),
      decisions_(decisions),
      evacuates_domains_(options.evacuates_domains),
      selector_(routes, targets, decisions.placer, options.evacuates_domains),
      flows_(options.flow_capacity),
      forwarded_(counters.Emplace("packets_forwarded_total")),
      placed_(counters.Emplace("flows_placed_total")),
      refused_(counters.Emplace("flows_refused_total")),
      not_admitted_(counters.Emplace("flows_not_admitted_total")),
      unplaced_(counters.Emplace("packets_unplaced_total")),
      moved_(counters.Emplace("flows_moved_total")),
      resets_(counters.Emplace("flows_reset_total")),
      no_route_(counters.Emplace("packets_without_route_total")),
      unrouted_resets_(counters.Emplace("flows_without_route_reset_total")),
      unknown_tokens_(counters.Emplace("packets_unknown_token_total")),
      contradictory_(counters.Emplace("packets_contradictory_total")),
      repeats_(counters.Emplace("packets_repeated_total")),
      probes_(counters.Emplace("target_probes_total")),
      unconfirmed_(counters.Emplace("target_addresses_unconfirmed")) {}

void EdgeSteering::OnPacket(const EdgePacket& packet, TimePoint now,
                            const ViewGaps& gaps) {
  gaps_ = gaps;
  ExpireRequests(now);
  const Route* const route = routes_.Find(packet.service);
  if (route == nullptr) {
    OnNoRoute(packet, now);
    return;
  }
  if (packet.opens && (packet.acknowledges || packet.resets)) {
    // Only targets answer an opening packet; this one is forged or misrouted.
    contradictory_.Add();
    log_.Dropped(packet, "contradictory_flags", now);
    return;
  }
  if (packet.opens) {
    OnOpening(packet, *route, now);
  } else {
    OnFlowPacket(packet, *route, now);
  }
}

void EdgeSteering::DropOpening(const EdgePacket& packet, TimePoint now) {
  unplaced_.Add();
  log_.Dropped(packet, "view_outdated", now);
}

EdgePlacement EdgeSteering::Place(V4Endpoint client, V4Endpoint service,
                                  const Route& route, TargetKey excluded,
                                  TimePoint now) {
  const PlacementQuery query =
      selector_.QueryFor(client, service, route, excluded, now);
  return selector_.Select(route.Pick(query.flow_hash), query, gaps_);
}

void EdgeSteering::OnOpening(const EdgePacket& packet, const Route& route,
                             TimePoint now) {
  if (CachedFlow* const flow = flows_.Find(packet.client, packet.service);
      flow != nullptr && packet.acknowledged > 0 &&
      IsOpeningOf(packet, *flow, now)) {
    OnRepeatedOpening(packet, route, *flow, now);
    return;
  }
  if (!IsAdmitted(packet, route, now)) {
    not_admitted_.Add();
    log_.Refused(packet, "overload", now);
    sink_.Reset({packet.client, packet.service, 0});
    return;
  }
  const EdgePlacement placement =
      Place(packet.client, packet.service, route, TargetKey{}, now);
  if (placement.target == nullptr) {
    OnNoTarget(packet, route, now);
    return;
  }
  CachedFlow& flow = TrackFlow(packet, placement.target->record.key, now);
  flow.phase = FlowPhase::kOpening;
  flow.sequence_end = packet.sequence;
  placed_.Add();
  log_.Placed(packet, placement, targets_.TokenOf(flow.target), now);
  BeginRequest(flow, *placement.target, now);
  SendOpening(flow, *placement.target, packet.bytes);
  SaveOpening(flow, packet.bytes, now);
}

bool EdgeSteering::IsAdmitted(const EdgePacket& packet, const Route& route,
                              TimePoint now) {
  if (decisions_.admission == nullptr) return true;
  const std::uint64_t hash = FlowHash(packet.client, packet.service);
  const ServiceNumber service = route.Pick(hash);
  const AdmissionVerdict verdict = decisions_.admission->Admit(
      targets_.OfService(service), {.client = packet.client,
                                    .route = packet.service,
                                    .service = service,
                                    .objective = route.objective,
                                    .opening_copies = packet.acknowledged,
                                    .flow_hash = hash,
                                    .now = now});
  return verdict == AdmissionVerdict::kAdmit;
}

void EdgeSteering::OnNoTarget(const EdgePacket& packet, const Route& route,
                              TimePoint now) {
  if (gaps_.targets_recovering || WillBeWarm(packet, route, now) ||
      AwaitsConfirmation(packet, route, now)) {
    // A target may be available when the client retransmits; a reset would use
    // up one of the client's attempts.
    unplaced_.Add();
    log_.Dropped(packet, "no_target_yet", now);
    return;
  }
  refused_.Add();
  log_.Refused(packet, "no_target", now);
  sink_.Reset({packet.client, packet.service, 0});
}

bool EdgeSteering::AwaitsConfirmation(const EdgePacket& packet,
                                      const Route& route, TimePoint now) const {
  const std::vector<EdgeTarget*>& targets =
      targets_.OfService(route.Pick(FlowHash(packet.client, packet.service)));
  return std::any_of(
      targets.begin(), targets.end(), [now](const EdgeTarget* target) {
        return target->claim_status == ClaimStatus::kUnconfirmed &&
               !target->record.draining && target->health.AcceptsNewFlows(now);
      });
}

bool EdgeSteering::WillBeWarm(const EdgePacket& packet, const Route& route,
                              TimePoint now) const {
  const PlacementQuery query = selector_.QueryFor(packet.client, packet.service,
                                                  route, TargetKey{}, now);
  if (!query.exclude_cold) return false;
  if (packet.acknowledged >= kOpeningTimes.size()) return false;
  const Duration until_last_copy =
      kOpeningTimes.back() - kOpeningTimes.at(packet.acknowledged);
  const auto warm =
      NextWarm(targets_.OfService(route.Pick(query.flow_hash)), query);
  return warm && *warm <= now + until_last_copy;
}

void EdgeSteering::OnRepeatedOpening(const EdgePacket& packet,
                                     const Route& route, CachedFlow& flow,
                                     TimePoint now) {
  repeats_.Add();
  flow.repeats = static_cast<std::uint8_t>(
      std::min<std::uint32_t>(packet.acknowledged, 0xff));
  flow.last_seen = now;
  EdgeTarget* const target = targets_.Find(flow.target);
  if (target != nullptr) log_.Repeated(packet, flow, *target, now);
  if (MustMove(flow, route, target, now)) {
    MoveOpening(flow, route, packet.bytes, now);
    return;
  }
  ReportUnanswered(*target, flow.waiting_since, /*opening=*/true, now);
  SendOpening(flow, *target, packet.bytes);
}

bool EdgeSteering::MustMove(const CachedFlow& flow, const Route& route,
                            const EdgeTarget* target, TimePoint now) const {
  if (target == nullptr) return true;
  if (flow.phase != FlowPhase::kOpening) return false;
  if (target->evacuated && !gaps_.evacuations_unconfirmed) return true;
  const PlacementQuery query =
      selector_.QueryFor(flow.client, flow.service, route, TargetKey{}, now);
  // It has become cold since the first copy was sent.
  if (query.exclude_cold && now < target->cold_until) return true;
  return IsUnreachable(*target) || target->claim_status == ClaimStatus::kLost ||
         target->health.state() == Reachability::kUnresponsive;
}

void EdgeSteering::SendOpening(CachedFlow& flow, EdgeTarget& target,
                               std::span<const std::byte> packet) {
  forwarded_.Add();
  sink_.Forward(target.record.key, target.record.address, packet,
                targets_.TokenOf(flow.target));
}

void EdgeSteering::MoveOpening(CachedFlow& flow, const Route& route,
                               std::span<const std::byte> packet,
                               TimePoint now) {
  const EdgePlacement placement =
      Place(flow.client, flow.service, route, flow.target, now);
  EdgeTarget* const previous = targets_.Find(flow.target);
  if (placement.target == nullptr) {
    refused_.Add();
    if (previous != nullptr) ResetFlow(flow, *previous, {}, now);
    return;
  }
  if (previous != nullptr) log_.Moved(flow, *previous, placement, now);
  moved_.Add();
  EndRequest(flow);
  flow.target = placement.target->record.key;
  flow.moved = true;
  BeginRequest(flow, *placement.target, now);
  SendOpening(flow, *placement.target, packet);
  // The new target may be unreachable as well.
  SaveOpening(flow, packet, now);
}

void EdgeSteering::SaveOpening(const CachedFlow& flow,
                               std::span<const std::byte> packet,
                               TimePoint now) {
  if (packet.size() > Opening::kMaxSize) return;
  Opening& opening = openings_.emplace_back();
  opening.client = flow.client;
  opening.service = flow.service;
  opening.sent = now;
  opening.size = static_cast<std::uint8_t>(packet.size());
  std::copy(packet.begin(), packet.end(), opening.bytes.begin());
}

void EdgeSteering::CheckUnansweredOpenings(TimePoint now) {
  while (!openings_.empty() &&
         now - openings_.front().sent >= kOpeningTimeout) {
    const Opening opening = openings_.front();
    openings_.pop_front();
    CachedFlow* const flow = flows_.Find(opening.client, opening.service);
    if (flow == nullptr || flow->phase != FlowPhase::kOpening) continue;
    EdgeTarget* const target = targets_.Find(flow->target);
    const Route* const route = routes_.Find(opening.service);
    if (target == nullptr || route == nullptr) continue;
    if (IsUnreachable(*target) || target->claim_status == ClaimStatus::kLost) {
      MoveOpening(*flow, *route, {opening.bytes.data(), opening.size}, now);
      continue;
    }
    const TimePoint sent = opening.sent;
    ReportUnanswered(*target, sent, /*opening=*/true, now);
    // Kept until the outcome of the probe is known.
    if (target->health.state() == Reachability::kSuspect) {
      openings_awaiting_probe_.push_back(opening);
    }
  }
}

bool EdgeSteering::IsAwaitingProbe(const Opening& opening) {
  const CachedFlow* const flow = flows_.Find(opening.client, opening.service);
  if (flow == nullptr || flow->phase != FlowPhase::kOpening) return false;
  const EdgeTarget* const target = targets_.Find(flow->target);
  return target != nullptr && target->health.state() == Reachability::kSuspect;
}

void EdgeSteering::Tick(TimePoint now) {
  ExpireRequests(now);
  CheckUnansweredOpenings(now);
  RecheckUnreachable(now);
  ConfirmAddresses(now);
}

std::optional<TimePoint> EdgeSteering::NextDeadline() const noexcept {
  std::optional<TimePoint> next;
  if (!openings_.empty()) next = openings_.front().sent + kOpeningTimeout;
  if (!unreachable_.empty() && (!next || next_recheck_ < *next)) {
    next = next_recheck_;
  }
  const auto next_probe = address_probes_.NextDue();
  if (next_probe && (!next || *next_probe < *next)) next = next_probe;
  return next;
}

}  // namespace sapphirestream
