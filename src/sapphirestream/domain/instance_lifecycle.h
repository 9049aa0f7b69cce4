// Lifecycle of an instance as seen by another one; the transition table is in
// docs/lifecycles.md, section "Instance".
#ifndef SAPPHIRESTREAM_DOMAIN_INSTANCE_LIFECYCLE_H_
#define SAPPHIRESTREAM_DOMAIN_INSTANCE_LIFECYCLE_H_

#include <memory>

#include "sapphirestream/domain/member_view.h"

namespace sapphirestream {

enum class InstanceEvent : std::uint8_t {
  // A message of the known incarnation arrived.
  kHeard,
  // A message of a higher incarnation arrived.
  kRenewed,
  // A higher incarnation announced that it is joining.
  kRejoined,
  // No message for longer than the suspicion timeout.
  kSilent,
  // No message for longer than the death timeout.
  kExpired,
  // The instance announced that it is leaving.
  kLeaving,
};

class InstanceLifecycle {
 public:
  // Starts in kJoining.
  InstanceLifecycle();
  ~InstanceLifecycle();
  InstanceLifecycle(InstanceLifecycle&&) noexcept;
  InstanceLifecycle& operator=(InstanceLifecycle&&) noexcept;

  [[nodiscard]] MemberState state() const noexcept;
  // Applies an event; returns whether the state changed. An event without a
  // transition from the current state is ignored.
  bool Process(InstanceEvent event);

 private:
  class Machine;
  std::unique_ptr<Machine> machine_;
};

}  // namespace sapphirestream

#endif  // SAPPHIRESTREAM_DOMAIN_INSTANCE_LIFECYCLE_H_
