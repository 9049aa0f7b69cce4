// Handles packets for addresses without a route.
#include <string>
#include <utility>

#include "sapphirestream/edge/edge_steering.h"

namespace sapphirestream {

void EdgeSteering::OnNoRoute(const EdgePacket& packet, TimePoint now) {
  no_route_.Add();
  if (packet.resets) {
    log_.Dropped(packet, "no_route", now);
  } else if (packet.opens) {
    OnUnroutedOpening(packet, now);
  } else {
    CachedFlow& flow = TrackUnroutedFlow(packet, now);
    ResetOrAwaitRoutes({.client = packet.client,
                        .service = packet.service,
                        .known_since = flow.open_since,
                        .last_seen = now,
                        .reset_sequence = packet.acknowledged,
                        .opens = false,
                        .request_id = std::string(packet.request_id)},
                       packet, now);
  }
}

void EdgeSteering::OnUnroutedOpening(const EdgePacket& packet, TimePoint now) {
  const CachedFlow* const flow = flows_.Find(packet.client, packet.service);
  const bool is_late = flow != nullptr && flow->phase == FlowPhase::kOpen &&
                       IsOpeningOf(packet, *flow, now);
  if (routes_.version() == 0 || is_late) {
    log_.Dropped(packet, "no_route", now);
    return;
  }
  const UnroutedFlow opening{.client = packet.client,
                             .service = packet.service,
                             .known_since = now,
                             .last_seen = now,
                             .opens = true};
  // Another instance may have placed the first copy of the packet.
  if (packet.acknowledged > 0) {
    ResetOrAwaitRoutes(opening, packet, now);
  } else {
    ResetUnrouted(opening, now);
  }
}

CachedFlow& EdgeSteering::TrackUnroutedFlow(const EdgePacket& packet,
                                            TimePoint now) {
  CachedFlow* flow = flows_.Find(packet.client, packet.service);
  if (flow == nullptr || IsOtherFlow(packet, *flow)) {
    flow = &TrackFlow(packet, TargetKey{}, now);
    flow->sequence_end = packet.sequence;
  }
  flow->last_seen = now;
  if (flow->phase == FlowPhase::kOpen) return *flow;
  flow->phase = FlowPhase::kOpen;
  flow->acknowledged = packet.acknowledged;
  flow->open_since = now;
  return *flow;
}

void EdgeSteering::ResetOrAwaitRoutes(UnroutedFlow flow,
                                      const EdgePacket& packet, TimePoint now) {
  if (IsRouteDropped(flow.known_since, routes_complete_until_)) {
    ResetUnrouted(flow, now);
    return;
  }
  log_.Dropped(packet, "route_unconfirmed", now);
  // A read that was requested since the flow has been known suffices.
  const bool needs_read = flow.known_since > routes_requested_at_;
  if (unrouted_.Insert(std::move(flow)) && needs_read) RequestRoutes(now);
}

void EdgeSteering::RequestRoutes(TimePoint now) {
  routes_requested_at_ = now;
  sink_.ConfirmRoutes();
}

void EdgeSteering::OnRoutesRead(TimePoint complete_until, TimePoint now) {
  routes_complete_until_ = complete_until;
  for (const UnroutedFlow& flow :
       unrouted_.Take(routes_, complete_until, now)) {
    // The next copy of the packet is forwarded.
    if (routes_.Find(flow.service) != nullptr) continue;
    ResetUnrouted(flow, now);
  }
  // The read began before a packet of the others arrived, or it cannot tell.
  if (unrouted_.size() > 0) RequestRoutes(now);
}

void EdgeSteering::ResetUnrouted(const UnroutedFlow& flow, TimePoint now) {
  unrouted_resets_.Add();
  log_.Unrouted(flow, routes_complete_until_, now);
  sink_.Reset({flow.client, flow.service, flow.reset_sequence});
}

}  // namespace sapphirestream
