// Which instances own a flow: a function of the flow's hash and a member view.
#ifndef SAPPHIRESTREAM_FLOW_OWNERSHIP_H_
#define SAPPHIRESTREAM_FLOW_OWNERSHIP_H_

#include <cstdint>

#include "sapphirestream/base/id.h"
#include "sapphirestream/flow/flow_key.h"
#include "sapphirestream/flow/snapshot.h"

namespace sapphirestream {

struct Owners {
  // Home domain: where the flow is decided.
  DomainId home{};
  // Scheduler of the service in the home domain; kNoInstance if it has no
  // eligible instance.
  InstanceId owner = kNoInstance;
  // Holds copies of the owner's records; kNoInstance if nobody is left.
  InstanceId replica = kNoInstance;

  bool operator==(const Owners&) const = default;
};

enum class ViewAge : std::uint8_t { kPresent, kPrevious };

// Fills the schedulers of every service from the snapshot's two member views.
// Call once, after the rest of the snapshot is filled.
void AssignSchedulers(Snapshot& snapshot);

// Whether a first packet of the flow may run a request: a datagram of a service
// that is not idempotent. A TCP request runs only after the handshake, which
// binds the client to the one target whose answer it took; another target that
// got a copy of the first packet refuses the rest.
[[nodiscard]] inline bool RunsOnFirstPacket(const ServiceView& view,
                                            const FlowKey& key) noexcept {
  return !view.service.idempotent && key.protocol == Protocol::kUdp;
}

// Returns the owners of a flow. Where RunsOnFirstPacket holds, the home domain
// stays even if nobody there is eligible, so that two sides of a partition
// never decide the same flow; other flows move to the next-ranked domain.
[[nodiscard]] Owners OwnersOf(const Snapshot& snapshot, const ServiceView& view,
                              const FlowKey& key, std::uint64_t hash,
                              ViewAge age = ViewAge::kPresent) noexcept;

// Returns the scheduler of a service in the failure domain of a target, or
// kNoInstance. It keeps a copy of the records of streams on that target, since
// nobody else can serve them while the domain is cut off.
[[nodiscard]] InstanceId SchedulerNear(const Snapshot& snapshot,
                                       const ServiceView& view,
                                       TargetId target) noexcept;

}  // namespace sapphirestream

#endif  // SAPPHIRESTREAM_FLOW_OWNERSHIP_H_
