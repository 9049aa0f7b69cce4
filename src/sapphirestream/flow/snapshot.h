// Immutable state that the control thread publishes to the traffic threads.
#ifndef SAPPHIRESTREAM_FLOW_SNAPSHOT_H_
#define SAPPHIRESTREAM_FLOW_SNAPSHOT_H_

#include <cstdint>
#include <memory>
#include <unordered_map>
#include <vector>

#include "sapphirestream/base/clock.h"
#include "sapphirestream/base/id.h"
#include "sapphirestream/contract/preset.h"
#include "sapphirestream/contract/service.h"
#include "sapphirestream/domain/member_view.h"
#include "sapphirestream/target/lookup_table.h"

namespace sapphirestream {

// The part of a service version that steering uses.
struct ServiceVersion {
  ConfigVersion version{};
  std::shared_ptr<const LookupTable> table;
  // Share of flows placed by load, in thousandths; 1,000 if the service is not
  // idempotent.
  std::uint32_t load_share_permille = 0;
  // Only for retained versions: whether the idle timeout has passed since the
  // version was replaced, so that every flow begun under it has a record or is
  // idle.
  bool recorded = false;
};

// The instances of a domain that rank first and second for a service.
struct DomainSchedulers {
  InstanceId first = kNoInstance;
  InstanceId second = kNoInstance;

  bool operator==(const DomainSchedulers&) const = default;
};

// All versions of a service that may have flows.
struct ServiceView {
  Service service;
  // The version that new flows use.
  ServiceVersion active;
  // Versions before `active`, oldest first.
  std::vector<ServiceVersion> retained;
  // Versions accepted but not active yet, oldest first.
  std::vector<ServiceVersion> prepared;
  // Targets of all versions above, by id.
  std::unordered_map<TargetId, Target> targets;
  // Whether an announcement for the service is in force.
  bool slowdown_announced = false;
  // Indexed like Snapshot::domains, for the current and for the previous member
  // view; filled by AssignSchedulers.
  std::vector<DomainSchedulers> schedulers;
  std::vector<DomainSchedulers> previous_schedulers;
  // For the current view with all joining members alive; empty if there are
  // none.
  std::vector<DomainSchedulers> schedulers_after_joining;
};

struct Snapshot {
  ConfigVersion version{};
  InstanceId self = kNoInstance;
  DomainId own_domain{};
  // The preset in force.
  Preset preset;
  std::unordered_map<ServiceId, ServiceView> services;
  // Failure domains that can be the home of a flow.
  std::vector<DomainId> domains;
  MemberView members;
  // The member view that `members` replaced.
  MemberView previous_members;
  // False while the instance has lost contact with its peers.
  bool confirmed = true;
  // Until this time the instance may decide first packets of services that are
  // not idempotent; the traffic thread checks it right before sending.
  TimePoint authority_until;
};

}  // namespace sapphirestream

#endif  // SAPPHIRESTREAM_FLOW_SNAPSHOT_H_
