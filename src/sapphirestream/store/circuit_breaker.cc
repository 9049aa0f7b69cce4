#include "sapphirestream/store/circuit_breaker.h"

#include <algorithm>
#include <boost/mpl/vector.hpp>

#include "sapphirestream/base/state_machine.h"

namespace sapphirestream {
namespace {

// State machine events.
struct CallRequested {
  TimePoint now;
};
struct CallSucceeded {
  TimePoint now;
};
struct CallFailed {
  TimePoint now;
};

struct BreakerDef
    : StateMachineDef<BreakerDef, BreakerState, BreakerState::kClosed> {
  using InClosed = State<BreakerState::kClosed>;
  using InOpen = State<BreakerState::kOpen>;
  using InHalfOpen = State<BreakerState::kHalfOpen>;
  using initial_state = InClosed;  // NOLINT(readability-identifier-naming)

  struct IsThresholdReached {
    template <typename Event, typename Fsm, typename From, typename To>
    bool operator()(const Event& /*event*/, Fsm& machine, From& /*from*/,
                    To& /*to*/) const {
      return machine.failures + 1 >= machine.options.threshold;
    }
  };
  // Whether the open period has elapsed, or a probe has been outstanding for as
  // long.
  struct IsPeriodElapsed {
    template <typename Event, typename Fsm, typename From, typename To>
    bool operator()(const Event& event, Fsm& machine, From& /*from*/,
                    To& /*to*/) const {
      return event.now - machine.period_start >= machine.period;
    }
  };
  struct CountFailure {
    template <typename Event, typename Fsm, typename From, typename To>
    void operator()(const Event& /*event*/, Fsm& machine, From& /*from*/,
                    To& /*to*/) const {
      ++machine.failures;
    }
  };
  struct Reset {
    template <typename Event, typename Fsm, typename From, typename To>
    void operator()(const Event& /*event*/, Fsm& machine, From& /*from*/,
                    To& /*to*/) const {
      machine.failures = 0;
      machine.period = machine.options.open_period;
    }
  };
  struct StartPeriod {
    template <typename Event, typename Fsm, typename From, typename To>
    void operator()(const Event& event, Fsm& machine, From& /*from*/,
                    To& /*to*/) const {
      machine.period_start = event.now;
    }
  };
  struct StartLongerPeriod {
    template <typename Event, typename Fsm, typename From, typename To>
    void operator()(const Event& event, Fsm& machine, From& /*from*/,
                    To& /*to*/) const {
      machine.period_start = event.now;
      machine.period =
          std::min(machine.options.max_open_period, machine.period * 2);
    }
  };
  struct AllowProbe {
    template <typename Event, typename Fsm, typename From, typename To>
    void operator()(const Event& event, Fsm& machine, From& /*from*/,
                    To& /*to*/) const {
      machine.period_start = event.now;
      machine.probe_allowed = true;
    }
  };

  // If two rows match a state and an event, the later row is evaluated first.
  // While the breaker is open, results of calls that started before it opened
  // are ignored.
  // NOLINTNEXTLINE(readability-identifier-naming)
  struct transition_table
      : boost::mpl::vector<
            Row<InClosed, CallSucceeded, None, Reset>,
            Row<InClosed, CallFailed, None, CountFailure>,
            Row<InClosed, CallFailed, InOpen, StartPeriod, IsThresholdReached>,
            Row<InOpen, CallRequested, InHalfOpen, AllowProbe, IsPeriodElapsed>,
            Row<InHalfOpen, CallRequested, None, AllowProbe, IsPeriodElapsed>,
            Row<InHalfOpen, CallSucceeded, InClosed, Reset>,
            Row<InHalfOpen, CallFailed, InOpen, StartLongerPeriod>> {};

  CircuitBreakerOptions options;
  std::uint32_t failures = 0;
  Duration period{};
  // Start of the open period or of the current probe.
  TimePoint period_start{};
  // Set by a transition that admits the current call as the probe.
  bool probe_allowed = false;
};

}  // namespace

class CircuitBreaker::Machine : public StateMachine<BreakerDef> {};

std::string_view Name(BreakerState state) noexcept {
  switch (state) {
    case BreakerState::kClosed:
      return "closed";
    case BreakerState::kOpen:
      return "open";
    case BreakerState::kHalfOpen:
      return "half_open";
  }
  return "unknown";
}

CircuitBreaker::CircuitBreaker(const CircuitBreakerOptions& options)
    : machine_(std::make_unique<Machine>()) {
  machine_->options = options;
  machine_->period = options.open_period;
  machine_->start();
}
CircuitBreaker::~CircuitBreaker() = default;
CircuitBreaker::CircuitBreaker(CircuitBreaker&&) noexcept = default;
CircuitBreaker& CircuitBreaker::operator=(CircuitBreaker&&) noexcept = default;

bool CircuitBreaker::Allow(TimePoint now) {
  if (machine_->current == BreakerState::kClosed) return true;
  machine_->probe_allowed = false;
  machine_->process_event(CallRequested{now});
  return machine_->probe_allowed;
}

void CircuitBreaker::OnSuccess(TimePoint now) {
  machine_->process_event(CallSucceeded{now});
}

void CircuitBreaker::OnFailure(TimePoint now) {
  machine_->process_event(CallFailed{now});
}

BreakerState CircuitBreaker::state() const noexcept {
  return machine_->current;
}

}  // namespace sapphirestream
