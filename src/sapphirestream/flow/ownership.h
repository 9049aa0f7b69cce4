// Which instances own a flow: a function of the flow's hash and a member view.
#ifndef SAPPHIRESTREAM_FLOW_OWNERSHIP_H_
#define SAPPHIRESTREAM_FLOW_OWNERSHIP_H_

#include <cstdint>

#include "sapphirestream/base/id.h"
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

// Returns the owners of a flow. A service that is not idempotent keeps its home
// domain even if nobody there is eligible, so that two sides of a partition
// never decide the same flow; other services move to the next-ranked domain.
[[nodiscard]] Owners OwnersOf(const Snapshot& snapshot, const ServiceView& view,
                              std::uint64_t hash,
                              ViewAge age = ViewAge::kPresent) noexcept;

}  // namespace sapphirestream

#endif  // SAPPHIRESTREAM_FLOW_OWNERSHIP_H_
