// What the steering of an instance has its surroundings do.
#ifndef SAPPHIRESTREAM_EDGE_EDGE_SINK_H_
#define SAPPHIRESTREAM_EDGE_EDGE_SINK_H_

#include <cstddef>
#include <optional>
#include <span>
#include <string_view>

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
};

class EdgeSink {
 public:
  virtual ~EdgeSink() = default;
  // Sends a client's packet to a target; with `token`, after the packet's
  // token was replaced by it.
  virtual void Forward(TargetKey target, V4Endpoint address,
                       std::span<const std::byte> packet,
                       std::optional<FlowToken> token) = 0;
  virtual void Reset(const ClientReset& reset) = 0;
  // Probes a target and reports by EdgeSteering::OnProbe.
  virtual void Probe(const ProbeRequest& probe) = 0;
  // Asks for the newest list of targets, since a packet names one that is not
  // known here.
  virtual void RefreshTargets() = 0;
};

}  // namespace sapphirestream

#endif  // SAPPHIRESTREAM_EDGE_EDGE_SINK_H_
