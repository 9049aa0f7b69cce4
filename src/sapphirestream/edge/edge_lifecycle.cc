#include "sapphirestream/edge/edge_lifecycle.h"

#include <array>
#include <boost/mpl/vector.hpp>
#include <cstddef>

#include "sapphirestream/base/state_machine.h"

namespace sapphirestream {
namespace {

// Events.
struct Loaded {};
struct StopRequested {};
struct DrainFinished {};

struct EdgeLifecycleDef
    : StateMachineDef<EdgeLifecycleDef, EdgeState, EdgeState::kLoading> {
  using InLoading = State<EdgeState::kLoading>;
  using InServing = State<EdgeState::kServing>;
  using InLeaving = State<EdgeState::kLeaving>;
  using InStopped = State<EdgeState::kStopped>;
  using initial_state = InLoading;  // NOLINT(readability-identifier-naming)

  // NOLINTNEXTLINE(readability-identifier-naming)
  struct transition_table
      : boost::mpl::vector<Row<InLoading, Loaded, InServing>,
                           Row<InLoading, StopRequested, InStopped>,
                           Row<InServing, StopRequested, InLeaving>,
                           Row<InLeaving, DrainFinished, InStopped>> {};
};

}  // namespace

std::string_view Name(EdgeState state) noexcept {
  constexpr std::array<std::string_view, 4> names{"loading", "serving",
                                                  "leaving", "stopped"};
  return names[static_cast<std::size_t>(state)];
}

class EdgeLifecycle::Machine : public StateMachine<EdgeLifecycleDef> {};

EdgeLifecycle::EdgeLifecycle() : machine_(std::make_unique<Machine>()) {
  machine_->start();
}
EdgeLifecycle::~EdgeLifecycle() = default;

bool EdgeLifecycle::Apply(EdgeEvent event) {
  const auto process = [this](const auto& typed) {
    return Process(*machine_, typed);
  };
  switch (event) {
    case EdgeEvent::kLoaded:
      return process(Loaded{});
    case EdgeEvent::kStopRequested:
      return process(StopRequested{});
    case EdgeEvent::kDrainFinished:
      return process(DrainFinished{});
  }
  return false;
}

EdgeState EdgeLifecycle::state() const noexcept { return machine_->current; }

}  // namespace sapphirestream
