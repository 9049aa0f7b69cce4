// Recovery of flow records. A new owner pulls the records of a service from
// every instance that may have them before it decides about flows.
#ifndef SAPPHIRESTREAM_FLOW_RECOVERY_H_
#define SAPPHIRESTREAM_FLOW_RECOVERY_H_

#include <cstddef>
#include <cstdint>
#include <map>
#include <unordered_map>
#include <vector>

#include "sapphirestream/base/clock.h"
#include "sapphirestream/base/id.h"
#include "sapphirestream/flow/message.h"
#include "sapphirestream/flow/ownership_machine.h"
#include "sapphirestream/flow/snapshot.h"

namespace sapphirestream {

class SteeringSink;

// Longest time over which clients retransmit a first packet: six
// retransmissions with doubling intervals take 63 s.
inline constexpr Duration kFirstPacketLifetime = std::chrono::seconds(64);

class Recovery {
 public:
  explicit Recovery(SteeringSink& sink);

  // Applies a new snapshot: starts the recovery of services that this instance
  // now schedules and stops those that it no longer schedules.
  void OnSnapshot(const Snapshot& snapshot, TimePoint now);
  // Handles a page from a source and pulls the next one.
  void OnPage(InstanceId from, const RecordPage& page, TimePoint now);
  // Repeats pulls that were not answered and ends recoveries whose deadline has
  // passed.
  void OnTimer(TimePoint now);

  [[nodiscard]] OwnershipState StateOf(ServiceId service) const noexcept;
  // Returns whether first packets that run a request on arrival may be decided:
  // the records have been pulled, and none can have been lost within the
  // lifetime of a first packet.
  [[nodiscard]] bool MayRunRequests(ServiceId service,
                                    TimePoint now) const noexcept;
  // Number of services in state kRecovering.
  [[nodiscard]] std::size_t recovering() const noexcept;

 private:
  struct Source {
    std::uint64_t cursor = 0;
    TimePoint next_attempt;
  };
  struct State {
    OwnershipMachine machine;
    std::map<InstanceId, Source> sources;
    // Whether at least one source has answered.
    bool was_answered = false;
    // Recovery ends at this time even if sources have not answered.
    TimePoint deadline;
    // Records may be missing until this time, because an instance that held
    // them has died.
    TimePoint uncertain_until;
  };

  void Start(const Snapshot& snapshot, const ServiceView& view,
             std::size_t own_position, TimePoint now);
  void Pull(ServiceId service, InstanceId source, State& state, TimePoint now);
  void TrackDeaths(const Snapshot& snapshot, TimePoint now);
  void FinishIfDone(State& state, TimePoint now);

  SteeringSink& sink_;
  DomainId own_domain_{};
  InstanceId self_ = kNoInstance;
  std::unordered_map<ServiceId, State> services_;
  // Last known state of each member, and when a member of another domain last
  // died.
  std::unordered_map<InstanceId, MemberState> members_;
  TimePoint last_remote_death_;
};

}  // namespace sapphirestream

#endif  // SAPPHIRESTREAM_FLOW_RECOVERY_H_
