// Recovery of a new owner: it pulls the records of a service from every
// instance that may have them before it decides.
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

// Longest time over which clients send copies of a first packet (six
// retransmissions with doubling intervals take 63 s).
inline constexpr Duration kFirstPacketLifetime = std::chrono::seconds(64);

class Recovery {
 public:
  explicit Recovery(SteeringSink& sink);

  // Follows the ranks of a new snapshot: services that this instance now
  // schedules start to recover, those it no longer schedules become idle.
  void OnSnapshot(const Snapshot& snapshot, TimePoint now);
  // Notes a page from a source and asks for the next one.
  void OnPage(InstanceId from, const RecordPage& page, TimePoint now);
  // Repeats lost pulls and ends recoveries whose time is over.
  void OnTimer(TimePoint now);

  [[nodiscard]] OwnershipState StateOf(ServiceId service) const noexcept;
  // Whether first packets that may run a request at once may be decided: the
  // records are here and none can have been lost within the lifetime of a first
  // packet.
  [[nodiscard]] bool MayDecideOnce(ServiceId service,
                                   TimePoint now) const noexcept;
  // Services in state recovering.
  [[nodiscard]] std::size_t recovering() const noexcept;

 private:
  struct Source {
    std::uint64_t cursor = 0;
    TimePoint next_try;
  };
  struct State {
    OwnershipMachine machine;
    std::map<InstanceId, Source> sources;
    // Whether any source ever answered.
    bool was_answered = false;
    // Recovery ends here, whoever has not answered.
    TimePoint deadline;
    // Until then the records may be incomplete, since their holders died.
    TimePoint uncertain_until;
  };

  void Start(const Snapshot& snapshot, const ServiceView& view,
             std::size_t own_position, TimePoint now);
  void Pull(ServiceId service, InstanceId source, State& state, TimePoint now);
  void NoteDeaths(const Snapshot& snapshot, TimePoint now);
  void FinishIfDone(State& state, TimePoint now);

  SteeringSink& sink_;
  DomainId own_domain_{};
  InstanceId self_ = kNoInstance;
  std::unordered_map<ServiceId, State> services_;
  // Last known member states and when a member of another domain died last.
  std::unordered_map<InstanceId, MemberState> members_;
  TimePoint last_remote_death_;
};

}  // namespace sapphirestream

#endif  // SAPPHIRESTREAM_FLOW_RECOVERY_H_
