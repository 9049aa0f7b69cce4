// The lease under which this instance may decide first packets; the rules and
// the table of faults are in docs/decisions/decision-authority.md.
#ifndef SAPPHIRESTREAM_DOMAIN_DECISION_AUTHORITY_H_
#define SAPPHIRESTREAM_DOMAIN_DECISION_AUTHORITY_H_

#include <cstdint>
#include <deque>
#include <span>
#include <unordered_map>

#include "sapphirestream/base/clock.h"
#include "sapphirestream/base/id.h"
#include "sapphirestream/domain/member_view.h"
#include "sapphirestream/domain/timing.h"

namespace sapphirestream {

// Assigns the heartbeat sequence numbers, since the authority depends on when
// each echoed heartbeat was sent.
class DecisionAuthority {
 public:
  // The result of ValidUntil() when there is no authority.
  static constexpr TimePoint kNone{};

  // `first_sequence` must differ between runs of an instance, so that an echo
  // of an earlier run's heartbeat does not extend the authority of this run.
  DecisionAuthority(InstanceId self, DomainId domain,
                    std::uint64_t first_sequence, TimePoint now);

  // Records a run of the control loop. Returns the time since the previous run
  // if it exceeds kPauseLimit, else zero. After such a pause only echoes of
  // heartbeats sent after it count.
  Duration OnTick(TimePoint now);
  // Returns the sequence number for a heartbeat sent at `now`.
  [[nodiscard]] std::uint64_t NextSequence(TimePoint now);
  // Records that `peer` received heartbeat `sequence` of this instance. Returns
  // when it was sent, or kNone if the sequence is unknown, expired or not above
  // the last one echoed by `peer`.
  TimePoint OnEcho(InstanceId peer, std::uint64_t sequence);
  // Ends the authority until heartbeats sent after this call are echoed.
  void Withdraw() noexcept { first_valid_sequence_ = next_sequence_; }
  // Whether `peer` echoed a heartbeat sent after the last withdrawal.
  [[nodiscard]] bool HasEchoed(InstanceId peer) const noexcept;

  // Returns until when the instance may decide flows of `key`, a service's rank
  // key; the caller compares it with the monotonic clock right before sending.
  // kNone unless this instance is alive in `view`. `ineligible_peers` are the
  // members of the domain that have to echo although they are not eligible in
  // `view`: a process of each may be alive in its own view.
  [[nodiscard]] TimePoint ValidUntil(
      const MemberView& view, std::span<const InstanceId> ineligible_peers,
      std::uint64_t key) const;

 private:
  struct Sent {
    std::uint64_t sequence;
    TimePoint at;
  };
  struct Echo {
    std::uint64_t sequence = 0;
    TimePoint sent_at;
  };

  [[nodiscard]] TimePoint EchoExpiry(InstanceId peer) const noexcept;

  InstanceId self_;
  DomainId domain_;
  std::uint64_t next_sequence_;
  std::uint64_t first_valid_sequence_;
  TimePoint last_tick_;
  // Recently sent heartbeats, ascending by sequence.
  std::deque<Sent> sent_;
  std::unordered_map<InstanceId, Echo> echoes_;
};

}  // namespace sapphirestream

#endif  // SAPPHIRESTREAM_DOMAIN_DECISION_AUTHORITY_H_
