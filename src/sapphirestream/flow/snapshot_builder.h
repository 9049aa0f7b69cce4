// Builds the snapshot that traffic threads use from configurations and members.
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
  // The configuration in use for new flows.
  std::shared_ptr<const Configuration> active;
  // The newest accepted one; equal to `active` when nothing is prepared.
  std::shared_ptr<const Configuration> newest;
  MemberView members;
  MemberView previous_members;
  bool confirmed = true;
  TimePoint authority_until;
  WallTime now;
};

// Keeps lookup tables between builds, since only few services change.
class SnapshotBuilder {
 public:
  explicit SnapshotBuilder(Duration idle_timeout)
      : idle_timeout_(idle_timeout) {}

  // Builds a snapshot. `active` and `newest` must be set.
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
  // Tables used by the build under way; the others are dropped at its end.
  std::map<TableKey, std::shared_ptr<const LookupTable>> used_;
};

}  // namespace sapphirestream

#endif  // SAPPHIRESTREAM_FLOW_SNAPSHOT_BUILDER_H_
