// Common base of the state machines: a Boost.MSM definition whose current state
// is a value of an enumeration. Include it only in source files, since
// Boost.MSM compiles slowly.
#ifndef SAPPHIRESTREAM_BASE_STATE_MACHINE_H_
#define SAPPHIRESTREAM_BASE_STATE_MACHINE_H_

#include <boost/mpl/vector.hpp>
#include <boost/msm/back/state_machine.hpp>
#include <boost/msm/front/functor_row.hpp>
#include <boost/msm/front/state_machine_def.hpp>

namespace sapphirestream {

// CRTP base of `Def`, which defines initial_state and transition_table.
template <typename Def, typename Value, Value kInitial>
struct StateMachineDef : boost::msm::front::state_machine_def<Def> {
  // No event is raised while another one is processed, so no queue is needed.
  using no_message_queue = int;     // NOLINT(readability-identifier-naming)
  using no_exception_thrown = int;  // NOLINT(readability-identifier-naming)

  template <Value kValue>
  struct State : boost::msm::front::state<> {
    template <typename Event, typename Fsm>
    void on_entry(const Event& /*event*/, Fsm& machine) {
      machine.current = kValue;
    }
  };
  using None = boost::msm::front::none;
  template <typename From, typename Event, typename To, typename Action = None,
            typename Guard = None>
  using Row = boost::msm::front::Row<From, Event, To, Action, Guard>;

  // Events without a transition from the current state are ignored.
  template <typename Fsm, typename Event>
  void no_transition(const Event& /*event*/, Fsm& /*machine*/, int /*state*/) {}

  Value current = kInitial;
};

template <typename Def>
using StateMachine = boost::msm::back::state_machine<Def>;

// Applies an event; returns false if the current state has no transition for
// it.
template <typename Machine, typename Event>
bool Process(Machine& machine, const Event& event) {
  return machine.process_event(event) == boost::msm::back::HANDLED_TRUE;
}

}  // namespace sapphirestream

#endif  // SAPPHIRESTREAM_BASE_STATE_MACHINE_H_
