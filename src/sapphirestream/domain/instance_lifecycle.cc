#include "sapphirestream/domain/instance_lifecycle.h"

#define BOOST_MPL_CFG_NO_PREPROCESSED_HEADERS
#define BOOST_MPL_LIMIT_LIST_SIZE 30
#define BOOST_MPL_LIMIT_VECTOR_SIZE 30
#include <boost/msm/back/state_machine.hpp>
#include <boost/msm/front/functor_row.hpp>
#include <boost/msm/front/state_machine_def.hpp>

namespace sapphirestream {
namespace {

namespace msm = boost::msm;
namespace mpl = boost::mpl;
using msm::front::Row;

struct Heard {};
struct Renewed {};
struct Rejoined {};
struct Silent {};
struct Expired {};
struct Leaving {};

// Stores the current state in the machine as a MemberState, since Boost.MSM
// numbers states by their order in the table.
template <MemberState kState>
struct StateOf : msm::front::state<> {
  template <typename Event, typename Fsm>
  void on_entry(const Event&, Fsm& fsm) {  // NOLINT: name from Boost.MSM
    fsm.state = kState;
  }
};
using JoiningState = StateOf<MemberState::kJoining>;
using AliveState = StateOf<MemberState::kAlive>;
using SuspectState = StateOf<MemberState::kSuspect>;
using DeadState = StateOf<MemberState::kDead>;
using LeavingState = StateOf<MemberState::kLeaving>;
using LeftState = StateOf<MemberState::kLeft>;

struct Front : msm::front::state_machine_def<Front> {
  // One machine exists for each known instance, and its queues would take more
  // than a kilobyte; they are not needed, since no action raises events.
  using no_message_queue = int;
  using no_exception_thrown = int;
  using initial_state = JoiningState;
  // clang-format off
  struct transition_table : mpl::vector<  // NOLINT
      //  from          event     to
      Row<JoiningState, Heard,    AliveState>,
      Row<JoiningState, Renewed,  AliveState>,
      Row<JoiningState, Expired,  DeadState>,
      Row<JoiningState, Leaving,  LeavingState>,
      Row<AliveState,   Rejoined, JoiningState>,
      Row<AliveState,   Silent,   SuspectState>,
      Row<AliveState,   Expired,  DeadState>,
      Row<AliveState,   Leaving,  LeavingState>,
      Row<SuspectState, Heard,    AliveState>,
      Row<SuspectState, Renewed,  AliveState>,
      Row<SuspectState, Rejoined, JoiningState>,
      Row<SuspectState, Expired,  DeadState>,
      Row<SuspectState, Leaving,  LeavingState>,
      Row<DeadState,    Renewed,  AliveState>,
      Row<DeadState,    Rejoined, JoiningState>,
      Row<DeadState,    Leaving,  LeftState>,
      Row<LeavingState, Renewed,  AliveState>,
      Row<LeavingState, Rejoined, JoiningState>,
      Row<LeavingState, Expired,  LeftState>,
      Row<LeftState,    Renewed,  AliveState>,
      Row<LeftState,    Rejoined, JoiningState>
  > {};
  // clang-format on

  template <typename Fsm, typename Event>
  void no_transition(const Event&, Fsm&, int) {}  // NOLINT

  MemberState state = MemberState::kJoining;
};

}  // namespace

class InstanceLifecycle::Machine : public msm::back::state_machine<Front> {};

InstanceLifecycle::InstanceLifecycle() : machine_(std::make_unique<Machine>()) {
  machine_->start();
}
InstanceLifecycle::~InstanceLifecycle() = default;
InstanceLifecycle::InstanceLifecycle(InstanceLifecycle&&) noexcept = default;
InstanceLifecycle& InstanceLifecycle::operator=(InstanceLifecycle&&) noexcept =
    default;

MemberState InstanceLifecycle::state() const noexcept {
  return machine_->state;
}

bool InstanceLifecycle::Process(InstanceEvent event) {
  const MemberState before = machine_->state;
  switch (event) {
    case InstanceEvent::kHeard:
      machine_->process_event(Heard{});
      break;
    case InstanceEvent::kRenewed:
      machine_->process_event(Renewed{});
      break;
    case InstanceEvent::kRejoined:
      machine_->process_event(Rejoined{});
      break;
    case InstanceEvent::kSilent:
      machine_->process_event(Silent{});
      break;
    case InstanceEvent::kExpired:
      machine_->process_event(Expired{});
      break;
    case InstanceEvent::kLeaving:
      machine_->process_event(Leaving{});
      break;
  }
  return machine_->state != before;
}

}  // namespace sapphirestream
