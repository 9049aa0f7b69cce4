// Log lines and latency histograms of flow decisions.
#ifndef SAPPHIRESTREAM_EDGE_EDGE_LOG_H_
#define SAPPHIRESTREAM_EDGE_EDGE_LOG_H_

#include <cstdint>
#include <string>
#include <string_view>

#include "sapphirestream/base/clock.h"
#include "sapphirestream/base/event_log.h"
#include "sapphirestream/base/latency_histogram.h"
#include "sapphirestream/edge/edge_packet.h"
#include "sapphirestream/edge/edge_placement.h"
#include "sapphirestream/edge/flow_cache.h"
#include "sapphirestream/edge/target_directory.h"
#include "sapphirestream/edge/unrouted_flows.h"

namespace sapphirestream {

// Logs each decision about a flow with its inputs and their age. EventLog
// limits the rate of each event: this samples `placed` lines, while failures
// are rare enough to be logged completely.
class EdgeLog {
 public:
  EdgeLog(EventLog& log, const RouteTable& routes)
      : log_(log), routes_(routes) {}

  // The target list contains every change that was acknowledged before `time`.
  void SetTargetsCompleteUntil(TimePoint time) noexcept {
    targets_complete_until_ = time;
  }

  void Placed(const EdgePacket& packet, const EdgePlacement& placement,
              FlowToken token, TimePoint now);
  void Refused(const EdgePacket& packet, std::string_view reason,
               TimePoint now);
  // A flow is reset because its address has no route. `routes_complete_until`
  // is unset if it is not known.
  void Unrouted(const UnroutedFlow& flow, TimePoint routes_complete_until,
                TimePoint now);
  void Moved(const CachedFlow& flow, const EdgeTarget& from,
             const EdgePlacement& to, TimePoint now);
  void Request(const EdgePacket& packet, const EdgeTarget& target,
               TimePoint now);
  void Repeated(const EdgePacket& packet, const CachedFlow& flow,
                const EdgeTarget& target, TimePoint now);
  void Reset(const CachedFlow& flow, const EdgeTarget& target,
             std::string_view request_id, TimePoint now);
  void Dropped(const EdgePacket& packet, std::string_view reason,
               TimePoint now);
  void Probed(const EdgeTarget& target, ProbeOutcome outcome, TimePoint begun,
              TimePoint now);

  // A target gained or lost its address.
  void ClaimChanged(const ClaimChange& change, TimePoint now);

  // A probe ended that began before the target registered.
  void ProbeIgnored(const EdgeTarget& target, ProbeOutcome outcome,
                    TimePoint begun, TimePoint now);

  // Time from a flow's opening packet to the client's next packet.
  LatencyHistogram& opening_latency() noexcept { return opening_latency_; }
  // Time from a request's first packet to the client's acknowledgement of the
  // response.
  LatencyHistogram& request_latency() noexcept { return request_latency_; }

 private:
  // Age of the target list in ms; -1 before the first one was read.
  [[nodiscard]] std::int64_t ViewAge(TimePoint now) const noexcept;

  EventLog& log_;
  const RouteTable& routes_;
  TimePoint targets_complete_until_{};
  LatencyHistogram opening_latency_;
  LatencyHistogram request_latency_;
};

[[nodiscard]] std::string ToString(TargetKey key);

}  // namespace sapphirestream

#endif  // SAPPHIRESTREAM_EDGE_EDGE_LOG_H_
