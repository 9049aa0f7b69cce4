// Output interface of EdgeSteering: sends packets and probes.
#ifndef SAPPHIRESTREAM_EDGE_EDGE_SINK_H_
#define SAPPHIRESTREAM_EDGE_EDGE_SINK_H_

#include <cstddef>
#include <optional>
#include <span>
#include <string>
#include <string_view>

#include "sapphirestream/base/clock.h"
#include "sapphirestream/edge/edge_packet.h"
#include "sapphirestream/edge/fwd.h"
#include "sapphirestream/edge/target_health.h"

namespace sapphirestream {

struct ProbeRequest {
  ProbeKind kind = ProbeKind::kConnection;
  TargetKey target{};
  V4Endpoint address;
  // Path of the health check; valid during the call.
  std::string_view health_path;
  // A target that answered recently. The probe only counts as unanswered if
  // this target can be reached at the same time: otherwise packets may be held
  // up on the link of this instance. Not set if no target is known to answer.
  std::optional<V4Endpoint> control;
};

struct ProbeResult {
  ProbeOutcome outcome = ProbeOutcome::kFailed;
  // When the probe was requested.
  TimePoint begun{};
  // The target that identified itself; zero if none did.
  TargetKey answered_by{};
  // The name of its entry; empty if it did not identify itself.
  std::string answered_name{};
};

class EdgeSink {
 public:
  virtual ~EdgeSink() = default;
  // Sends a client's packet to a target. If `token` is set, it replaces the
  // packet's token.
  virtual void Forward(TargetKey target, V4Endpoint address,
                       std::span<const std::byte> packet,
                       std::optional<FlowToken> token) = 0;
  virtual void Reset(const ClientReset& reset) = 0;
  // Probes a target; the outcome is passed to EdgeSteering::OnProbe.
  virtual void Probe(const ProbeRequest& probe) = 0;
  // Requests the current target list, because a packet carries an unknown
  // token.
  virtual void RefreshTargets() = 0;
  // Requests a current read of the routes that begins now or later; called
  // when packets show that the routes known here may lack one. The result is
  // passed to EdgeSteering::OnRoutesRead.
  virtual void ConfirmRoutes() = 0;
};

}  // namespace sapphirestream

#endif  // SAPPHIRESTREAM_EDGE_EDGE_SINK_H_
