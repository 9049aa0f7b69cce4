// Builds the snapshots of the traffic threads from configurations and member
// views.
#ifndef SAPPHIRESTREAM_FLOW_SNAPSHOT_BUILDER_H_
#define SAPPHIRESTREAM_FLOW_SNAPSHOT_BUILDER_H_

#include <cstdint>
#include <map>
#include <memory>
#include <utility>
#include <vector>

#include "sapphirestream/base/clock.h"
#include "sapphirestream/contract/configuration.h"
#include "sapphirestream/flow/snapshot.h"

namespace sapphirestream {

struct SnapshotInputs {
  InstanceId self = kNoInstance;
  DomainId own_domain{};
  // The configuration that new flows use.
  std::shared_ptr<const Configuration> active;
  // The newest accepted configuration; equal to `active` if none is prepared.
  std::shared_ptr<const Configuration> newest;
  MemberView members;
  MemberView previous_members;
  bool confirmed = true;
  TimePoint authority_until;
  WallTime now;
};

// Caches lookup tables between builds, since a change usually affects few
// services.
class SnapshotBuilder {
 public:
  explicit SnapshotBuilder(Duration idle_timeout)
      : idle_timeout_(idle_timeout) {}

  // `inputs.active` and `inputs.newest` must not be null.
  [[nodiscard]] std::shared_ptr<const Snapshot> Build(
      const SnapshotInputs& inputs);

 private:
  struct VersionTime {
    ConfigVersion version{};
    WallTime accepted;
  };
  using TableKey = std::pair<ServiceId, ConfigVersion>;

  [[nodiscard]] ServiceView BuildService(const SnapshotInputs& inputs,
                                         const Service& service);
  [[nodiscard]] static std::vector<VersionTime> VersionsOf(
      const Configuration& newest, const Service& service);
  [[nodiscard]] std::shared_ptr<const LookupTable> TableOf(
      const Service& service, ConfigVersion version);

  Duration idle_timeout_;
  std::map<TableKey, std::shared_ptr<const LookupTable>> tables_;
  // Tables used by the current build; all others are dropped when it ends.
  std::map<TableKey, std::shared_ptr<const LookupTable>> used_;
};

}  // namespace sapphirestream

#endif  // SAPPHIRESTREAM_FLOW_SNAPSHOT_BUILDER_H_
