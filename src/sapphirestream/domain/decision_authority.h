// Until when this instance may decide first packets; the rules and the table of
// faults are in docs/decisions/decision-authority.md.
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

// Numbers the heartbeats, since the authority rests on when each was sent.
class DecisionAuthority {
 public:
  // The result of Until() when there is no authority.
  static constexpr TimePoint kNone{};

  // `first_sequence` differs between runs of an instance, so that an echo of an
  // earlier run's heartbeat does not count for this one.
  DecisionAuthority(InstanceId self, DomainId domain,
                    std::uint64_t first_sequence, TimePoint now);

  // Records that the control loop ran. Returns the time since the last run if
  // that was longer than kPauseLimit, else zero; after a pause only echoes of
  // heartbeats sent after it count.
  Duration OnTick(TimePoint now);
  // Returns the sequence of a heartbeat that is sent now.
  [[nodiscard]] std::uint64_t NextSequence(TimePoint now);
  // `peer` received our heartbeat `sequence`. Returns when that was sent, or
  // kNone if it is unknown, old, or known to be received already.
  TimePoint OnEcho(InstanceId peer, std::uint64_t sequence);
  // From here on only echoes of heartbeats sent later count.
  void Withdraw() noexcept { first_valid_ = next_sequence_; }
  // Whether `peer` echoed a heartbeat sent after the last withdrawal.
  [[nodiscard]] bool IsEchoed(InstanceId peer) const noexcept;

  // Returns until when the instance may decide flows of `key`, a service's
  // rank key; the caller compares it with the monotonic clock right before
  // sending. kNone unless `view` has this instance alive. `joining` are the
  // members of the domain that were heard joining: they have to echo as well,
  // since each may already be alive in its own view.
  [[nodiscard]] TimePoint Until(const MemberView& view,
                                std::span<const InstanceId> joining,
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

  [[nodiscard]] TimePoint SupportOf(InstanceId peer) const noexcept;

  InstanceId self_;
  DomainId domain_;
  std::uint64_t next_sequence_;
  std::uint64_t first_valid_;
  TimePoint last_tick_;
  // Ascending; the recent ones only.
  std::deque<Sent> sent_;
  std::unordered_map<InstanceId, Echo> echoes_;
};

}  // namespace sapphirestream

#endif  // SAPPHIRESTREAM_DOMAIN_DECISION_AUTHORITY_H_
