#include "sapphirestream/domain/config_lifecycle.h"

#include <boost/msm/back/state_machine.hpp>
#include <boost/msm/front/functor_row.hpp>
#include <boost/msm/front/state_machine_def.hpp>

namespace sapphirestream {
namespace {

namespace msm = boost::msm;
namespace mpl = boost::mpl;
using msm::front::Row;

struct Activated {};
struct Superseded {};
struct Idle {};

template <ConfigState kState>
struct StateOf : msm::front::state<> {
  template <typename Event, typename Fsm>
  void on_entry(const Event&, Fsm& fsm) {  // NOLINT: name from Boost.MSM
    fsm.state = kState;
  }
};
using Prepared = StateOf<ConfigState::kPrepared>;
using Active = StateOf<ConfigState::kActive>;
using Retained = StateOf<ConfigState::kRetained>;
using Dropped = StateOf<ConfigState::kDropped>;

struct Front : msm::front::state_machine_def<Front> {
  using no_message_queue = int;
  using no_exception_thrown = int;
  using initial_state = Prepared;
  // clang-format off
  struct transition_table : mpl::vector<  // NOLINT
      //  from      event       to
      Row<Prepared, Activated,  Active>,
      Row<Prepared, Superseded, Retained>,
      Row<Active,   Superseded, Retained>,
      Row<Retained, Idle,       Dropped>
  > {};
  // clang-format on

  template <typename Fsm, typename Event>
  void no_transition(const Event&, Fsm&, int) {}  // NOLINT

  ConfigState state = ConfigState::kPrepared;
};

}  // namespace

std::string_view Name(ConfigState state) noexcept {
  switch (state) {
    case ConfigState::kPrepared:
      return "prepared";
    case ConfigState::kActive:
      return "active";
    case ConfigState::kRetained:
      return "retained";
    case ConfigState::kDropped:
      return "dropped";
  }
  return "unknown";
}

class ConfigLifecycle::Machine : public msm::back::state_machine<Front> {};

ConfigLifecycle::ConfigLifecycle() : machine_(std::make_unique<Machine>()) {
  machine_->start();
}
ConfigLifecycle::~ConfigLifecycle() = default;
ConfigLifecycle::ConfigLifecycle(ConfigLifecycle&&) noexcept = default;
ConfigLifecycle& ConfigLifecycle::operator=(ConfigLifecycle&&) noexcept =
    default;

ConfigState ConfigLifecycle::state() const noexcept { return machine_->state; }

bool ConfigLifecycle::Process(ConfigEvent event) {
  const ConfigState before = machine_->state;
  switch (event) {
    case ConfigEvent::kActivated:
      machine_->process_event(Activated{});
      break;
    case ConfigEvent::kSuperseded:
      machine_->process_event(Superseded{});
      break;
    case ConfigEvent::kIdle:
      machine_->process_event(Idle{});
      break;
  }
  return machine_->state != before;
}

}  // namespace sapphirestream
