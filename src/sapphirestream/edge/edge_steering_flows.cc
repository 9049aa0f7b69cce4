// Handles packets after the opening and derives load and health from them.
#include <algorithm>
#include <utility>

#include "sapphirestream/base/id.h"
#include "sapphirestream/edge/edge_steering.h"

namespace sapphirestream {
namespace {

// Whether sequence number `a` is after `b`, with wrap-around.
constexpr bool IsAfter(std::uint32_t a, std::uint32_t b) noexcept {
  return static_cast<std::int32_t>(a - b) > 0;
}

}  // namespace

void EdgeSteering::OnFlowPacket(const EdgePacket& packet, const Route& route,
                                TimePoint now) {
  CachedFlow* flow = flows_.Find(packet.client, packet.service);
  if (flow != nullptr && IsOtherFlow(packet, *flow)) flow = nullptr;
  EdgeTarget* const target = TargetOf(packet, route, flow);
  if (target == nullptr) {
    DropUnknownToken(packet, now);
    return;
  }
  if (flow == nullptr) {
    flow = &TrackFlow(packet, target->record.key, now);
    flow->phase = FlowPhase::kOpen;
    flow->open_since = now;
    flow->acknowledged = packet.acknowledged;
    flow->sequence_end = packet.sequence;
  }
  UpdateFlowTarget(*flow, *target, packet, now);
  OnProgress(packet, *flow, *target, now);
  if (!packet.payload.empty()) OnData(packet, *flow, *target, now);
  if (packet.finishes || packet.resets) {
    // The client gives up on a request that is still waiting.
    if (flow->waiting) flow->answered_at = now;
    ReportRequest(*flow);
    EndRequest(*flow);
    // The client may use the port for another flow from now on.
    flow->moved = false;
  }
  if (!packet.payload.empty()) {
    if (IsResettable(*flow, route, *target) && IsLost(*flow, *target, now)) {
      ResetFlow(*flow, *target, packet.request_id, now);
      return;
    }
    ProbeForPacket(*flow, route, *target, now);
  }
  forwarded_.Add();
  sink_.Forward(target->record.key, target->record.address, packet.bytes,
                CorrectedToken(packet, *flow, *target));
}

std::optional<FlowToken> EdgeSteering::CorrectedToken(
    const EdgePacket& packet, const CachedFlow& flow,
    const EdgeTarget& target) const {
  if (!flow.moved || packet.token == kNoToken) return std::nullopt;
  const FlowToken expected = targets_.TokenOf(target.record.key);
  // Both ends use the corrected token from now on, also through other
  // instances.
  return packet.token == expected ? std::nullopt : std::optional(expected);
}

EdgeTarget* EdgeSteering::TargetOf(const EdgePacket& packet, const Route& route,
                                   const CachedFlow* flow) {
  if (flow != nullptr && flow->moved && flow->phase == FlowPhase::kOpen) {
    // After a late answer of the first target, the client uses its token again,
    // although the second target has opened the flow.
    EdgeTarget* const target = targets_.Find(flow->target);
    if (target != nullptr && route.Allows(target->service)) return target;
  }
  return packet.token == kNoToken ? nullptr
                                  : targets_.FindByToken(packet.token, route);
}

void EdgeSteering::UpdateFlowTarget(CachedFlow& flow, EdgeTarget& target,
                                    const EdgePacket& packet, TimePoint now) {
  flow.last_seen = now;
  if (flow.target != target.record.key) {
    Uncount(flow);
    flow.target = target.record.key;
  }
  if (flow.phase != FlowPhase::kOpening) return;
  flow.phase = FlowPhase::kOpen;
  flow.open_since = now;
  flow.acknowledged = packet.acknowledged;
  if (flow.repeats == 0) log_.opening_latency().Add(now - flow.waiting_since);
  flow.repeats = 0;
  OnTargetProgress(target, now);
}

void EdgeSteering::OnProgress(const EdgePacket& packet, CachedFlow& flow,
                              EdgeTarget& target, TimePoint now) {
  if (!packet.acknowledges ||
      !IsAfter(packet.acknowledged, flow.acknowledged)) {
    return;
  }
  flow.acknowledged = packet.acknowledged;
  flow.repeats = 0;
  OnTargetProgress(target, now);
  if (!flow.waiting) return;
  log_.request_latency().Add(now - flow.waiting_since);
  if (packet.payload.empty()) flow.answered_at = now;
  EndRequest(flow);
}

void EdgeSteering::OnData(const EdgePacket& packet, CachedFlow& flow,
                          EdgeTarget& target, TimePoint now) {
  const std::uint32_t end =
      packet.sequence + static_cast<std::uint32_t>(packet.payload.size());
  if (IsAfter(end, flow.sequence_end)) {
    flow.sequence_end = end;
    flow.last_data = now;
    if (!packet.request_id.empty()) {
      log_.Request(packet, target, now);
      ReportRequest(flow);
      // A client sends a request only after the previous one was answered.
      EndRequest(flow);
    }
    if (!flow.waiting) BeginRequest(flow, target, now);
    return;
  }
  if (now - flow.last_data < kMinRetransmitDelay) return;
  repeats_.Add();
  if (flow.repeats < 0xff) ++flow.repeats;
  log_.Repeated(packet, flow, target, now);
  ReportUnanswered(target, flow.waiting_since, /*opening=*/false, now);
}

void EdgeSteering::DropUnknownToken(const EdgePacket& packet, TimePoint now) {
  unknown_tokens_.Add();
  log_.Dropped(packet, "unknown_token", now);
  if (packet.token != kNoToken && now - last_refresh_ >= kMinRefreshInterval) {
    last_refresh_ = now;
    sink_.RefreshTargets();
  }
}

void EdgeSteering::ReportRequest(CachedFlow& flow) {
  const TimePoint answered_at = std::exchange(flow.answered_at, TimePoint{});
  if (decisions_.observer == nullptr || answered_at == TimePoint{}) return;
  const EdgeTarget* const target = targets_.Find(flow.target);
  if (target == nullptr) return;
  decisions_.observer->OnRequest(
      {.target = target->record.key,
       .incarnation = target->record.incarnation,
       .route = flow.service,
       .took = answered_at - flow.waiting_since,
       .answer_bytes = flow.acknowledged - flow.answer_begin,
       .at = answered_at});
}

void EdgeSteering::BeginRequest(CachedFlow& flow, EdgeTarget& target,
                                TimePoint now) {
  flow.waiting = true;
  flow.counted = true;
  flow.waiting_since = now;
  flow.answer_begin = flow.acknowledged;
  ++target.outstanding;
  requests_.push_back({flow.client, flow.service, now});
}

void EdgeSteering::EndRequest(CachedFlow& flow) {
  flow.waiting = false;
  Uncount(flow);
}

void EdgeSteering::Uncount(CachedFlow& flow) {
  if (!flow.counted) return;
  flow.counted = false;
  EdgeTarget* const target = targets_.Find(flow.target);
  if (target != nullptr && target->outstanding > 0) --target->outstanding;
}

void EdgeSteering::ExpireRequests(TimePoint now) {
  while (!requests_.empty() &&
         now - requests_.front().began >= kMaxRequestTime) {
    const Request request = requests_.front();
    requests_.pop_front();
    CachedFlow* const flow = flows_.Find(request.client, request.service);
    if (flow == nullptr || flow->waiting_since != request.began) continue;
    ReportRequest(*flow);
    Uncount(*flow);
  }
}

CachedFlow& EdgeSteering::TrackFlow(const EdgePacket& packet, TargetKey target,
                                    TimePoint now) {
  CachedFlow evicted;
  if (CachedFlow* const flow = flows_.Find(packet.client, packet.service)) {
    EndRequest(*flow);
    *flow = {};
    flow->client = packet.client;
    flow->service = packet.service;
    flow->target = target;
    flow->last_seen = now;
    return *flow;
  }
  CachedFlow& flow = flows_.Emplace(packet.client, packet.service, evicted);
  if (evicted.phase != FlowPhase::kNone) EndRequest(evicted);
  flow.target = target;
  flow.last_seen = now;
  return flow;
}

}  // namespace sapphirestream
