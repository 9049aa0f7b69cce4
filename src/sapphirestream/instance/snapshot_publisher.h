// Builds a snapshot when its inputs have changed and publishes it to the
// traffic threads and to Steering.
#ifndef SAPPHIRESTREAM_INSTANCE_SNAPSHOT_PUBLISHER_H_
#define SAPPHIRESTREAM_INSTANCE_SNAPSHOT_PUBLISHER_H_

#include <cstdint>
#include <memory>
#include <unordered_map>

#include "sapphirestream/base/clock.h"
#include "sapphirestream/base/counter.h"
#include "sapphirestream/flow/snapshot_builder.h"
#include "sapphirestream/instance/flow_dispatcher.h"
#include "sapphirestream/instance/traffic_state.h"

namespace sapphirestream {

class SnapshotPublisher {
 public:
  // Retained versions and announcements depend on the wall clock and are
  // checked at this interval.
  static constexpr Duration kRefreshInterval = std::chrono::seconds(1);

  struct Options {
    InstanceId self = kNoInstance;
    DomainId own_domain{};
    Duration idle_timeout{};
  };
  using Addresses = std::unordered_map<InstanceId, Endpoint>;

  SnapshotPublisher(const Options& options, PublishedState& state,
                    FlowDispatcher& dispatcher, CounterSet& counters);

  // Each marks a new snapshot as due if its input has changed.
  void OnConfiguration() noexcept { is_due_ = true; }
  void OnMembers(const MemberView& members);
  void SetPeers(Addresses peers);
  void SetConfirmed(bool confirmed) noexcept;

  // Publishes a snapshot if one is due. Publishes nothing while `active` is
  // null, which it is before the first configuration.
  void Update(const std::shared_ptr<const Configuration>& active,
              const std::shared_ptr<const Configuration>& newest,
              TimePoint authority_until, TimePoint now, WallTime wall_now);

  // The last published state; null before the first publication.
  [[nodiscard]] std::shared_ptr<const TrafficState> current() const noexcept {
    return current_;
  }

 private:
  Options options_;
  PublishedState& state_;
  FlowDispatcher& dispatcher_;
  SnapshotBuilder builder_;
  Counter& published_;
  Counter& unconfirmed_;
  MemberView members_;
  MemberView previous_members_;
  Addresses peers_;
  bool confirmed_ = true;
  bool is_due_ = false;
  TimePoint next_refresh_;
  std::shared_ptr<const TrafficState> current_;
};

}  // namespace sapphirestream

#endif  // SAPPHIRESTREAM_INSTANCE_SNAPSHOT_PUBLISHER_H_
