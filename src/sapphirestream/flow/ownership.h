// Assignment of flows to owners and replicas: a function of the flow hash and a
// member view.
#ifndef SAPPHIRESTREAM_FLOW_OWNERSHIP_H_
#define SAPPHIRESTREAM_FLOW_OWNERSHIP_H_

#include <cstdint>

#include "sapphirestream/base/id.h"
#include "sapphirestream/flow/flow_key.h"
#include "sapphirestream/flow/snapshot.h"

namespace sapphirestream {

struct Owners {
  // Domain whose scheduler is the owner.
  DomainId home{};
  // Scheduler of the service in the home domain; kNoInstance if the domain has
  // no eligible instance.
  InstanceId owner = kNoInstance;
  // Keeps copies of the records of the owner; kNoInstance if there is no other
  // eligible instance.
  InstanceId replica = kNoInstance;

  bool operator==(const Owners&) const = default;
};

enum class MemberViewKind : std::uint8_t {
  kCurrent,
  kPrevious,
  // The current view once the instances that are joining have joined. OwnersOf
  // names no owner for it if none is joining.
  kAfterJoining,
};

// Computes the schedulers of every service from the member views of the
// snapshot. Call once, after all other fields are set.
void AssignSchedulers(Snapshot& snapshot);

// Returns whether the first packet of the flow may run a request, which is the
// case for datagrams of services that are not idempotent. A TCP request runs
// only after the handshake, which binds the client to the one target whose
// answer it accepted; any other target that received a copy of the first packet
// rejects the rest.
[[nodiscard]] inline bool RunsOnFirstPacket(const ServiceView& view,
                                            const FlowKey& key) noexcept {
  return !view.service.idempotent && key.protocol == Protocol::kUdp;
}

// Returns the owner and the replica of a flow. If RunsOnFirstPacket, the home
// domain stays the same even without an eligible instance, so that two sides of
// a partition never decide the same flow; other flows move to the domain that
// ranks next.
[[nodiscard]] Owners OwnersOf(
    const Snapshot& snapshot, const ServiceView& view, const FlowKey& key,
    std::uint64_t hash,
    MemberViewKind kind = MemberViewKind::kCurrent) noexcept;

// Returns the scheduler of a service in the failure domain of a target, or
// kNoInstance. It gets a copy of the records of streams on that target, since
// only it can serve them while the domain is cut off.
[[nodiscard]] InstanceId SchedulerInDomainOf(const Snapshot& snapshot,
                                             const ServiceView& view,
                                             TargetId target) noexcept;

}  // namespace sapphirestream

#endif  // SAPPHIRESTREAM_FLOW_OWNERSHIP_H_
