// Forwards the packets of flows to targets by token. The instance that receives
// a flow's opening packet selects a target and writes the target's token into
// the packet. Both ends repeat the token in all later packets, so that every
// instance can find the target without shared state.
//
// Only packets from client to target pass through an instance (direct server
// return), so an instance infers a target's health from the client's next
// packets. A suspected failure is verified by connection probes, and only their
// outcome moves or resets flows: see docs/decisions/running-on-the-platform.md.
#ifndef SAPPHIRESTREAM_EDGE_EDGE_STEERING_H_
#define SAPPHIRESTREAM_EDGE_EDGE_STEERING_H_

#include <array>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <optional>
#include <string_view>
#include <vector>

#include "sapphirestream/base/clock.h"
#include "sapphirestream/base/counter.h"
#include "sapphirestream/edge/address_probes.h"
#include "sapphirestream/edge/admission_control.h"
#include "sapphirestream/edge/domain_reachability.h"
#include "sapphirestream/edge/edge_log.h"
#include "sapphirestream/edge/edge_packet.h"
#include "sapphirestream/edge/edge_placement.h"
#include "sapphirestream/edge/edge_sink.h"
#include "sapphirestream/edge/flow_cache.h"
#include "sapphirestream/edge/flow_placer.h"
#include "sapphirestream/edge/request_observation.h"
#include "sapphirestream/edge/route_table.h"
#include "sapphirestream/edge/target_directory.h"
#include "sapphirestream/edge/target_selector.h"
#include "sapphirestream/edge/unrouted_flows.h"

namespace sapphirestream {

// Decisions that EdgeSteering delegates.
struct SteeringDecisions {
  FlowPlacer& placer;
  // Null if requests are not observed, or all flows are admitted.
  RequestObserver* observer = nullptr;
  AdmissionControl* admission = nullptr;
};

struct SteeringOptions {
  std::size_t flow_capacity = 0;
  // Whether failure domains are evacuated, and cold targets of services that
  // limit their flows get no new flows; see docs/design/evacuation.md and
  // docs/design/cold-targets.md.
  bool evacuates_domains = false;
};

class EdgeSteering {
 public:
  // When a client sends its opening packet, counted from the first time.
  static constexpr std::array<Duration, 3> kOpeningTimes{
      std::chrono::milliseconds(0), std::chrono::milliseconds(200),
      std::chrono::milliseconds(600)};
  // A client continues as soon as it receives the target's answer; its next
  // packet arrives within this time, even across failure domains.
  static constexpr Duration kOpeningTimeout = std::chrono::milliseconds(45);
  // Longest time for which a request counts towards its target's load. Clients
  // do not acknowledge a response of a single packet, so the end of a request
  // may not be visible here.
  static constexpr Duration kMaxRequestTime = std::chrono::milliseconds(150);
  // Old data that arrives within this time was reordered by the network;
  // clients retransmit after 200 ms.
  static constexpr Duration kMinRetransmitDelay =
      std::chrono::milliseconds(150);
  // A target is known to answer if one of its flows made progress within this
  // time.
  static constexpr Duration kControlMaxAge = std::chrono::seconds(1);
  // Minimum time between two calls of EdgeSink::RefreshTargets. Each of them
  // reads the store, and any client can send packets with unknown tokens.
  static constexpr Duration kMinRefreshInterval =
      std::chrono::milliseconds(300);

  // The references must outlive this object.
  EdgeSteering(RouteTable& routes, TargetDirectory& targets, EdgeSink& sink,
               EdgeLog& log, CounterSet& counters,
               const SteeringDecisions& decisions,
               const SteeringOptions& options);

  void OnPacket(const EdgePacket& packet, TimePoint now,
                const ViewGaps& gaps = {});
  // Drops an opening packet that arrived before the view was read again after a
  // pause; the client retransmits it.
  void DropOpening(const EdgePacket& packet, TimePoint now);
  void OnProbe(TargetKey key, const ProbeResult& result, TimePoint now);
  // The targets have been read. Probes those whose address another target
  // claims.
  void OnTargetsRead(TimePoint now);
  // The routes have been read: they contain every change that was acknowledged
  // before `complete_until`; unset if that is not known. Resets the waiting
  // flows whose route was dropped.
  void OnRoutesRead(TimePoint complete_until, TimePoint now);
  // Handles expired deadlines. Must be called at NextDeadline() at the latest.
  void Tick(TimePoint now);
  // Returns the next deadline, if there is one.
  [[nodiscard]] std::optional<TimePoint> NextDeadline() const noexcept;
  // How targets of new flows are selected.
  [[nodiscard]] const TargetSelector& selector() const noexcept {
    return selector_;
  }

 private:
  // An opening packet whose client has not continued yet; kept so that it can
  // be sent to another target.
  struct Opening {
    static constexpr std::size_t kMaxSize =
        64;  // opening packets have no payload
    V4Endpoint client;
    V4Endpoint service;
    TimePoint sent;
    std::uint8_t size = 0;
    std::array<std::byte, kMaxSize> bytes{};
  };
  // A request in progress. Stops counting towards its target's load after
  // kMaxRequestTime if its end is not seen.
  struct Request {
    V4Endpoint client;
    V4Endpoint service;
    TimePoint began;
  };

  // A target whose flow made progress.
  struct Progress {
    TargetKey target{};
    V4Endpoint address;
    TimePoint at{};
  };

  // Packets without a route.
  void OnNoRoute(const EdgePacket& packet, TimePoint now);
  void OnUnroutedOpening(const EdgePacket& packet, TimePoint now);
  // Remembers since when the flow has been known to be open.
  CachedFlow& TrackUnroutedFlow(const EdgePacket& packet, TimePoint now);
  // Resets the flow if its route was dropped. Otherwise drops its packet, and
  // requests a read of the routes that can tell.
  void ResetOrAwaitRoutes(UnroutedFlow flow, const EdgePacket& packet,
                          TimePoint now);
  void RequestRoutes(TimePoint now);
  void ResetUnrouted(const UnroutedFlow& flow, TimePoint now);

  // Opening packets (SYN).
  void OnOpening(const EdgePacket& packet, const Route& route, TimePoint now);
  void OnNoTarget(const EdgePacket& packet, const Route& route, TimePoint now);
  // Whether the service has a target that a probe of its address may confirm.
  [[nodiscard]] bool AwaitsConfirmation(const EdgePacket& packet,
                                        const Route& route,
                                        TimePoint now) const;
  // Whether the client will send the opening packet again when a target that is
  // cold now can be selected.
  [[nodiscard]] bool WillBeWarm(const EdgePacket& packet, const Route& route,
                                TimePoint now) const;
  [[nodiscard]] bool IsAdmitted(const EdgePacket& packet, const Route& route,
                                TimePoint now);
  void OnRepeatedOpening(const EdgePacket& packet, const Route& route,
                         CachedFlow& flow, TimePoint now);
  [[nodiscard]] EdgePlacement Place(V4Endpoint client, V4Endpoint service,
                                    const Route& route, TargetKey excluded,
                                    TimePoint now);
  // Update what is known of the reachability of a target's domain.
  void OnDomainUnreachable(const EdgeTarget& target, TimePoint begun,
                           TimePoint now);
  void OnDomainAnswer(const EdgeTarget& target, TimePoint now);
  void SendOpening(CachedFlow& flow, EdgeTarget& target,
                   std::span<const std::byte> packet);
  void MoveOpening(CachedFlow& flow, const Route& route,
                   std::span<const std::byte> packet, TimePoint now);
  void SaveOpening(const CachedFlow& flow, std::span<const std::byte> packet,
                   TimePoint now);
  void CheckUnansweredOpenings(TimePoint now);
  // Whether an unanswered opening has to leave its target.
  [[nodiscard]] bool MustMove(const CachedFlow& flow, const Route& route,
                              const EdgeTarget* target, TimePoint now) const;
  // Whether a probe of the opening's target is in progress.
  [[nodiscard]] bool IsAwaitingProbe(const Opening& opening);

  // Packets after the opening.
  void OnFlowPacket(const EdgePacket& packet, const Route& route,
                    TimePoint now);
  [[nodiscard]] EdgeTarget* TargetOf(const EdgePacket& packet,
                                     const Route& route,
                                     const CachedFlow* flow);
  // Returns the token to write into the packet if it carries the token of
  // another target.
  [[nodiscard]] std::optional<FlowToken> CorrectedToken(
      const EdgePacket& packet, const CachedFlow& flow,
      const EdgeTarget& target) const;
  void UpdateFlowTarget(CachedFlow& flow, EdgeTarget& target,
                        const EdgePacket& packet, TimePoint now);
  void OnProgress(const EdgePacket& packet, CachedFlow& flow,
                  EdgeTarget& target, TimePoint now);
  void OnData(const EdgePacket& packet, CachedFlow& flow, EdgeTarget& target,
              TimePoint now);
  void DropUnknownToken(const EdgePacket& packet, TimePoint now);

  // Failure detection and failover.
  // Reports a missing response to the target's health; may start a probe.
  void ReportUnanswered(EdgeTarget& target, TimePoint unanswered_since,
                        bool opening, TimePoint now);
  void StartProbe(EdgeTarget& target, ProbeKind kind, TimePoint now);
  void AddUnreachable(TargetKey target, TimePoint now);
  // Whether most targets of the service are unreachable from here, so that the
  // path to them is the likely cause.
  [[nodiscard]] bool IsPathSuspect(ServiceNumber service) const;
  // Probes the unreachable targets that are due.
  void RecheckUnreachable(TimePoint now);
  // Probes the targets whose claim of their address is due to be confirmed.
  void ConfirmAddresses(TimePoint now);
  void OnAddressProbe(EdgeTarget& target, const ProbeResult& result);
  void LogClaimChanges(TimePoint now);
  void OnTargetProgress(EdgeTarget& target, TimePoint now);
  // Returns a target other than `target` that is known to answer.
  [[nodiscard]] std::optional<V4Endpoint> ControlFor(const EdgeTarget& target,
                                                     TimePoint now) const;
  [[nodiscard]] static bool IsUnreachable(const EdgeTarget& target) noexcept;
  // Whether the target is listed and no other one has answered at its address.
  [[nodiscard]] static bool IsPresent(const EdgeTarget& target) noexcept;
  // Whether the flow's pending request may be reset if its target is lost.
  [[nodiscard]] static bool IsResettable(const CachedFlow& flow,
                                         const Route& route,
                                         const EdgeTarget& target) noexcept;
  // Whether the target is known to be lost for the flow's pending request.
  [[nodiscard]] static bool IsLost(const CachedFlow& flow,
                                   const EdgeTarget& target,
                                   TimePoint now) noexcept;
  // Starts a probe if a packet needs one: its target is no longer listed, or is
  // unreachable according to probes from before the request.
  void ProbeForPacket(const CachedFlow& flow, const Route& route,
                      EdgeTarget& target, TimePoint now);
  void ResetFlow(CachedFlow& flow, const EdgeTarget& target,
                 std::string_view request_id, TimePoint now);
  // Moves openings off an unreachable target and resets its waiting flows.
  void FailOverFlows(EdgeTarget& target, TimePoint now);

  // Load accounting.
  // Reports the flow's last request to the observer, unless it is unanswered or
  // has been reported.
  void ReportRequest(CachedFlow& flow);
  void BeginRequest(CachedFlow& flow, EdgeTarget& target, TimePoint now);
  void EndRequest(CachedFlow& flow);
  // Removes the flow's request from its target's load.
  void Uncount(CachedFlow& flow);
  void ExpireRequests(TimePoint now);
  CachedFlow& TrackFlow(const EdgePacket& packet, TargetKey target,
                        TimePoint now);

  RouteTable& routes_;
  TargetDirectory& targets_;
  EdgeSink& sink_;
  EdgeLog& log_;
  SteeringDecisions decisions_;
  bool evacuates_domains_;
  TargetSelector selector_;
  DomainReachability domains_;
  // As of the last packet.
  ViewGaps gaps_;
  FlowCache flows_;
  UnroutedFlows unrouted_;
  // The routes contain every change that was acknowledged before this time;
  // unset if that is not known.
  TimePoint routes_complete_until_{};
  // When a read of the routes was last requested.
  TimePoint routes_requested_at_{};
  // Ordered by the time they were sent.
  std::deque<Opening> openings_;
  // Unanswered openings whose target is being probed.
  std::vector<Opening> openings_awaiting_probe_;
  std::deque<Request> requests_;
  // Unreachable targets. They are probed periodically while they may get new
  // flows, and kept here while they are gone, since they may register again.
  std::vector<TargetKey> unreachable_;
  TimePoint next_recheck_{};
  AddressProbes address_probes_;
  // The two targets with the most recent progress, the latest one first.
  std::array<Progress, 2> progress_;
  TimePoint last_refresh_{};

  Counter& forwarded_;
  Counter& placed_;
  Counter& refused_;
  Counter& not_admitted_;
  Counter& unplaced_;
  Counter& moved_;
  Counter& resets_;
  Counter& no_route_;
  Counter& unrouted_resets_;
  Counter& unknown_tokens_;
  Counter& contradictory_;
  Counter& repeats_;
  Counter& probes_;
  Counter& unconfirmed_;
};

}  // namespace sapphirestream

#endif  // SAPPHIRESTREAM_EDGE_EDGE_STEERING_H_
