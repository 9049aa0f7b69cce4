// Guards against transitions that docs/lifecycles.md does not list: tries every
// event in every state.
#include "sapphirestream/target/target_lifecycle.h"

#include <boost/test/unit_test.hpp>
#include <map>
#include <utility>
#include <vector>

namespace sapphirestream {
namespace {

using enum TargetEvent;
using State = TargetState;

constexpr TargetEvent kEvents[] = {kFound, kStarted, kWarmedUp, kDrained,
                                   kLost,  kRetried, kRemoved};

// Events that lead from the initial state to each state.
const std::map<State, std::vector<TargetEvent>> kPaths = {
    {State::kJoining, {}},
    {State::kWarming, {kStarted}},
    {State::kActive, {kFound}},
    {State::kDraining, {kDrained}},
    {State::kFailed, {kFound, kLost}},
    {State::kRemoved, {TargetEvent::kRemoved}}};

const std::map<std::pair<State, TargetEvent>, State> kTransitions = {
    {{State::kJoining, kFound}, State::kActive},
    {{State::kJoining, kStarted}, State::kWarming},
    {{State::kJoining, kDrained}, State::kDraining},
    {{State::kJoining, TargetEvent::kRemoved}, State::kRemoved},
    {{State::kWarming, kWarmedUp}, State::kActive},
    {{State::kWarming, kDrained}, State::kDraining},
    {{State::kWarming, kLost}, State::kFailed},
    {{State::kWarming, TargetEvent::kRemoved}, State::kRemoved},
    {{State::kActive, kDrained}, State::kDraining},
    {{State::kActive, kLost}, State::kFailed},
    {{State::kActive, TargetEvent::kRemoved}, State::kRemoved},
    {{State::kDraining, TargetEvent::kRemoved}, State::kRemoved},
    {{State::kFailed, kRetried}, State::kWarming},
    {{State::kFailed, kDrained}, State::kDraining},
    {{State::kFailed, TargetEvent::kRemoved}, State::kRemoved}};

BOOST_AUTO_TEST_SUITE(target_lifecycle)

BOOST_AUTO_TEST_CASE(only_listed_transitions_happen) {
  for (const auto& [state, path] : kPaths) {
    for (const TargetEvent event : kEvents) {
      TargetLifecycle lifecycle;
      for (const TargetEvent step : path) lifecycle.Apply(step);
      BOOST_REQUIRE(Name(lifecycle.state()) == Name(state));
      const auto transition = kTransitions.find({state, event});
      BOOST_TEST(lifecycle.Apply(event) == (transition != kTransitions.end()));
      const State expected =
          transition != kTransitions.end() ? transition->second : state;
      BOOST_TEST(Name(lifecycle.state()) == Name(expected));
    }
  }
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace sapphirestream
