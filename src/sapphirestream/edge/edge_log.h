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
#include "sapphirestream/edge/flow_watch.h"
#include "sapphirestream/edge/target_directory.h"

namespace sapphirestream {

// Writes what was decided for a flow, from which inputs, and how old these
// were. Lines of one kind are limited by EventLog; `placed` lines are sampled
// by that limit, while lines of failures are rare enough to be complete.
class EdgeLog {
 public:
  EdgeLog(EventLog& log, const RouteTable& routes)
      : log_(log), routes_(routes) {}

  // Takes note that the list of targets was read completely.
  void OnTargetsRead(TimePoint now) noexcept { targets_read_ = now; }

  void Placed(const EdgePacket& packet, const EdgePlacement& placement,
              FlowToken token, TimePoint now);
  void Refused(const EdgePacket& packet, std::string_view reason,
               TimePoint now);
  void Moved(const WatchedFlow& flow, const EdgeTarget& from,
             const EdgePlacement& to, TimePoint now);
  void Request(const EdgePacket& packet, const EdgeTarget& target,
               TimePoint now);
  void Repeated(const EdgePacket& packet, const WatchedFlow& flow,
                const EdgeTarget& target, TimePoint now);
  void Reset(const WatchedFlow& flow, const EdgeTarget& target,
             std::string_view request_id, TimePoint now);
  void Dropped(const EdgePacket& packet, std::string_view reason,
               TimePoint now);
  void Probed(const EdgeTarget& target, ProbeOutcome outcome, TimePoint begun,
              TimePoint now);

  // Time from the opening packet to the client's next one.
  LatencyHistogram& openings() noexcept { return openings_; }
  // Time from a request's first packet to the client's acknowledgement of its
  // answer.
  LatencyHistogram& answers() noexcept { return answers_; }

 private:
  // Since the list of targets was current, in ms; -1 before the first list.
  [[nodiscard]] std::int64_t ViewAge(TimePoint now) const noexcept;

  EventLog& log_;
  const RouteTable& routes_;
  TimePoint targets_read_{};
  LatencyHistogram openings_;
  LatencyHistogram answers_;
};

[[nodiscard]] std::string ToString(TargetKey key);

}  // namespace sapphirestream

#endif  // SAPPHIRESTREAM_EDGE_EDGE_LOG_H_
