#include "sapphirestream/edge/edge_lifecycle.h"

#include <array>
#include <boost/mpl/vector.hpp>
#include <boost/msm/back/state_machine.hpp>
#include <boost/msm/front/functor_row.hpp>
#include <boost/msm/front/state_machine_def.hpp>
#include <cstddef>

namespace sapphirestream {
namespace {

namespace msm = boost::msm;

// Events.
struct Loaded {};
struct StopRequested {};
struct Quiet {};

struct EdgeLifecycleDef : msm::front::state_machine_def<EdgeLifecycleDef> {
  // Events never arrive while another one is processed, so no queue is needed.
  using no_message_queue = int;     // NOLINT(readability-identifier-naming)
  using no_exception_thrown = int;  // NOLINT(readability-identifier-naming)

  template <EdgeState kValue>
  struct State : msm::front::state<> {
    template <typename Event, typename Fsm>
    void on_entry(const Event& /*event*/, Fsm& machine) {
      machine.current = kValue;
    }
  };
  using InLoading = State<EdgeState::kLoading>;
  using InServing = State<EdgeState::kServing>;
  using InLeaving = State<EdgeState::kLeaving>;
  using InStopped = State<EdgeState::kStopped>;
  using initial_state = InLoading;  // NOLINT(readability-identifier-naming)

  template <typename From, typename Event, typename To>
  using Row = msm::front::Row<From, Event, To>;

  // NOLINTNEXTLINE(readability-identifier-naming)
  struct transition_table
      : boost::mpl::vector<Row<InLoading, Loaded, InServing>,
                           Row<InLoading, StopRequested, InStopped>,
                           Row<InServing, StopRequested, InLeaving>,
                           Row<InLeaving, Quiet, InStopped>> {};

  // An event that means nothing in a state is ignored.
  template <typename Fsm, typename Event>
  void no_transition(const Event& /*event*/, Fsm& /*machine*/, int /*state*/) {}

  EdgeState current = EdgeState::kLoading;
};

}  // namespace

std::string_view Name(EdgeState state) noexcept {
  constexpr std::array<std::string_view, 4> names{"loading", "serving",
                                                  "leaving", "stopped"};
  return names[static_cast<std::size_t>(state)];
}

class EdgeLifecycle::Machine
    : public msm::back::state_machine<EdgeLifecycleDef> {};

EdgeLifecycle::EdgeLifecycle() : machine_(std::make_unique<Machine>()) {
  machine_->start();
}
EdgeLifecycle::~EdgeLifecycle() = default;

bool EdgeLifecycle::Apply(EdgeEvent event) {
  const auto process = [this](const auto& typed) {
    return machine_->process_event(typed) == msm::back::HANDLED_TRUE;
  };
  switch (event) {
    case EdgeEvent::kLoaded:
      return process(Loaded{});
    case EdgeEvent::kStopRequested:
      return process(StopRequested{});
    case EdgeEvent::kQuiet:
      return process(Quiet{});
  }
  return false;
}

EdgeState EdgeLifecycle::state() const noexcept { return machine_->current; }

}  // namespace sapphirestream
