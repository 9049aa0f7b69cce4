#include "sapphirestream/target/target_lifecycle.h"

#include <boost/mpl/vector.hpp>
#include <boost/msm/back/state_machine.hpp>
#include <boost/msm/front/functor_row.hpp>
#include <boost/msm/front/state_machine_def.hpp>

namespace sapphirestream {
namespace {

namespace msm = boost::msm;

// Events.
struct Found {};
struct Started {};
struct WarmedUp {};
struct Drained {};
struct Lost {};
struct Retried {};
struct Removed {};

struct LifecycleDef : msm::front::state_machine_def<LifecycleDef> {
  // Events never arrive while another one is processed, so no queue is needed.
  using no_message_queue = int;     // NOLINT(readability-identifier-naming)
  using no_exception_thrown = int;  // NOLINT(readability-identifier-naming)

  template <TargetState kValue>
  struct State : msm::front::state<> {
    template <typename Event, typename Fsm>
    void on_entry(const Event& /*event*/, Fsm& machine) {
      machine.current = kValue;
    }
  };
  using InJoining = State<TargetState::kJoining>;
  using InWarming = State<TargetState::kWarming>;
  using InActive = State<TargetState::kActive>;
  using InDraining = State<TargetState::kDraining>;
  using InFailed = State<TargetState::kFailed>;
  using InRemoved = State<TargetState::kRemoved>;
  using initial_state = InJoining;  // NOLINT(readability-identifier-naming)

  template <typename From, typename Event, typename To>
  using Row = msm::front::Row<From, Event, To>;

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

  // An event that means nothing in a state is ignored.
  template <typename Fsm, typename Event>
  void no_transition(const Event& /*event*/, Fsm& /*machine*/, int /*state*/) {}

  TargetState current = TargetState::kJoining;
};

}  // namespace

class TargetLifecycle::Machine : public msm::back::state_machine<LifecycleDef> {
};

TargetLifecycle::TargetLifecycle() : machine_(std::make_unique<Machine>()) {
  machine_->start();
}
TargetLifecycle::~TargetLifecycle() = default;
TargetLifecycle::TargetLifecycle(TargetLifecycle&&) noexcept = default;
TargetLifecycle& TargetLifecycle::operator=(TargetLifecycle&&) noexcept =
    default;

bool TargetLifecycle::Apply(TargetEvent event) {
  const auto process = [this](const auto& typed) {
    return machine_->process_event(typed) == msm::back::HANDLED_TRUE;
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
