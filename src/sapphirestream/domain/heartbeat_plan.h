// Selects the peers to which an instance sends heartbeats, and the interval, so
// that the traffic stays bounded for any size of the domain.
#ifndef SAPPHIRESTREAM_DOMAIN_HEARTBEAT_PLAN_H_
#define SAPPHIRESTREAM_DOMAIN_HEARTBEAT_PLAN_H_

#include <cstdint>
#include <span>
#include <vector>

#include "sapphirestream/base/clock.h"
#include "sapphirestream/base/id.h"
#include "sapphirestream/domain/member_view.h"

namespace sapphirestream {

struct HeartbeatPlan {
  // Members of the own domain that receive a heartbeat in every round.
  std::vector<InstanceId> neighbours;
  // Members that receive one in every second round in a large domain: those
  // that would take over a key for which this instance ranks first.
  std::vector<InstanceId> successors;
  Duration interval{};
};

// Computes the plan. `present` are the other members of the own domain that are
// neither dead nor left, ascending. `keys` are used only in domains larger than
// kFullMeshLimit.
[[nodiscard]] HeartbeatPlan MakeHeartbeatPlan(
    InstanceId self, DomainId domain, std::span<const InstanceId> present,
    const MemberView& view, std::span<const std::uint64_t> keys);

}  // namespace sapphirestream

#endif  // SAPPHIRESTREAM_DOMAIN_HEARTBEAT_PLAN_H_
