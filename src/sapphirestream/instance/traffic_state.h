// State that the control thread publishes to the traffic threads.
#ifndef SAPPHIRESTREAM_INSTANCE_TRAFFIC_STATE_H_
#define SAPPHIRESTREAM_INSTANCE_TRAFFIC_STATE_H_

#include <unordered_map>

#include "sapphirestream/base/endpoint.h"
#include "sapphirestream/base/id.h"
#include "sapphirestream/flow/snapshot.h"
#include "sapphirestream/instance/published.h"

namespace sapphirestream {

struct TrafficState {
  Snapshot snapshot;
  // Endpoints at which the other instances receive peer datagrams.
  std::unordered_map<InstanceId, Endpoint> peers;
};

using PublishedState = Published<TrafficState>;

}  // namespace sapphirestream

#endif  // SAPPHIRESTREAM_INSTANCE_TRAFFIC_STATE_H_
