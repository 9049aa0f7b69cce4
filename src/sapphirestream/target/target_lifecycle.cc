#include "sapphirestream/target/target_lifecycle.h"

#include <boost/mpl/vector.hpp>

#include "sapphirestream/base/state_machine.h"

namespace sapphirestream {
namespace {

// Events.
struct Found {};
struct Started {};
struct WarmedUp {};
struct Drained {};
struct Lost {};
struct Retried {};
struct Removed {};

struct LifecycleDef
    : StateMachineDef<LifecycleDef, TargetState, TargetState::kJoining> {
  using InJoining = State<TargetState::kJoining>;
  using InWarming = State<TargetState::kWarming>;
  using InActive = State<TargetState::kActive>;
  using InDraining = State<TargetState::kDraining>;
  using InFailed = State<TargetState::kFailed>;
  using InRemoved = State<TargetState::kRemoved>;
  using initial_state = InJoining;  // NOLINT(readability-identifier-naming)

  // NOLINTNEXTLINE(readability-identifier-naming)
  struct transition_table
      : boost::mpl::vector<
            Row<InJoining, Started, InWarming>, Row<InJoining, Found, InActive>,
            Row<InJoining, Drained, InDraining>,
            Row<InJoining, Removed, InRemoved>,
            Row<InWarming, WarmedUp, InActive>,
            Row<InWarming, Drained, InDraining>, Row<InWarming, Lost, InFailed>,
            Row<InWarming, Removed, InRemoved>,
            Row<InActive, Drained, InDraining>, Row<InActive, Lost, InFailed>,
            Row<InActive, Removed, InRemoved>,
            Row<InDraining, Removed, InRemoved>,
            Row<InFailed, Retried, InWarming>,
            Row<InFailed, Drained, InDraining>,
            Row<InFailed, Removed, InRemoved>> {};
};

}  // namespace

class TargetLifecycle::Machine : public StateMachine<LifecycleDef> {};

TargetLifecycle::TargetLifecycle() : machine_(std::make_unique<Machine>()) {
  machine_->start();
}
TargetLifecycle::~TargetLifecycle() = default;
TargetLifecycle::TargetLifecycle(TargetLifecycle&&) noexcept = default;
TargetLifecycle& TargetLifecycle::operator=(TargetLifecycle&&) noexcept =
    default;

bool TargetLifecycle::Apply(TargetEvent event) {
  const auto process = [this](const auto& typed) {
    return Process(*machine_, typed);
  };
  switch (event) {
    case TargetEvent::kFound:
      return process(Found{});
    case TargetEvent::kStarted:
      return process(Started{});
    case TargetEvent::kWarmedUp:
      return process(WarmedUp{});
    case TargetEvent::kDrained:
      return process(Drained{});
    case TargetEvent::kLost:
      return process(Lost{});
    case TargetEvent::kRetried:
      return process(Retried{});
    case TargetEvent::kRemoved:
      return process(Removed{});
  }
  return false;
}

TargetState TargetLifecycle::state() const noexcept {
  return machine_->current;
}

}  // namespace sapphirestream
