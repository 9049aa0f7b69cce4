// Whom an instance sends heartbeats to, and how often, so that the bytes stay
// bounded at any size of the domain.
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
  // Members of the own domain that get a heartbeat in every round.
  std::vector<InstanceId> neighbours;
  // Those that get one in every second round in a large domain: whoever would
  // take over a key for which this instance ranks first.
  std::vector<InstanceId> successors;
  Duration interval{};
};

// Makes the plan. `present` are the other members of the own domain that are
// neither dead nor left, ascending. `keys` matter above kFullMeshLimit only.
[[nodiscard]] HeartbeatPlan MakeHeartbeatPlan(
    InstanceId self, DomainId domain, std::span<const InstanceId> present,
    const MemberView& view, std::span<const std::uint64_t> keys);

}  // namespace sapphirestream

#endif  // SAPPHIRESTREAM_DOMAIN_HEARTBEAT_PLAN_H_
