// Guards against a living target taken for lost, and a lost one trusted again.
#include "sapphirestream/edge/target_health.h"

#include <boost/test/unit_test.hpp>

namespace sapphirestream {
namespace {

using namespace std::chrono_literals;

struct Fixture {
  // Reports that an opening flow stayed unanswered from `now` on.
  std::optional<ProbeKind> Silence() {
    const TimePoint since = now;
    now += 45ms;
    return health.OnSilence(since, /*opening=*/true, now);
  }
  bool Probe(ProbeOutcome outcome, Duration took = 1ms) {
    const TimePoint begun = now;
    now += took;
    return health.OnProbe(outcome, begun, now);
  }

  TimePoint now{1000s};
  TargetHealth health;
};

BOOST_FIXTURE_TEST_SUITE(target_health, Fixture)

BOOST_AUTO_TEST_CASE(silence_leads_to_a_probe_and_not_to_a_verdict) {
  BOOST_TEST((Silence() == ProbeKind::kConnection));
  BOOST_TEST((health.state() == Reachability::kSuspect));
  BOOST_TEST(health.accepts(now));
  BOOST_TEST(!Probe(ProbeOutcome::kAccepted));
  BOOST_TEST((health.state() == Reachability::kReachable));
}

BOOST_AUTO_TEST_CASE(life_after_the_silence_began_refutes_it) {
  const TimePoint since = now;
  now += 10ms;
  health.OnLife(now);
  now += 35ms;
  BOOST_TEST(!health.OnSilence(since, true, now).has_value());
}

// Other flows of the target answered while the probe's packets were lost.
BOOST_AUTO_TEST_CASE(life_during_a_silent_probe_refutes_it) {
  (void)Silence();
  const TimePoint begun = now;
  now += 30ms;
  health.OnLife(now);
  now += 30ms;
  BOOST_TEST(!health.OnProbe(ProbeOutcome::kSilent, begun, now));
  BOOST_TEST((health.state() == Reachability::kReachable));
}

BOOST_AUTO_TEST_CASE(a_failed_probe_makes_the_target_unreachable_once) {
  (void)Silence();
  BOOST_TEST(Probe(ProbeOutcome::kSilent, 60ms));
  BOOST_TEST(!health.accepts(now));
  BOOST_TEST(!health.TakeRecheck(now));
  now += TargetHealth::kRecheckPause;
  BOOST_TEST(health.TakeRecheck(now));
  BOOST_TEST(!health.TakeRecheck(now));
  BOOST_TEST(!Probe(ProbeOutcome::kSilent, 60ms));
  BOOST_TEST(health.failed_probes() == 2U);
}

BOOST_AUTO_TEST_CASE(an_unreachable_target_that_names_itself_is_trusted) {
  (void)Silence();
  (void)Probe(ProbeOutcome::kRefused);
  now += TargetHealth::kRecheckPause;
  (void)health.TakeRecheck(now);
  (void)Probe(ProbeOutcome::kAccepted);
  BOOST_TEST(health.accepts(now));
  BOOST_TEST(health.failed_probes() == 0U);
}

// The address was given to another target, which accepts connections.
BOOST_AUTO_TEST_CASE(a_stranger_at_the_address_is_no_return) {
  (void)Silence();
  (void)Probe(ProbeOutcome::kSilent, 60ms);
  now += TargetHealth::kRecheckPause;
  (void)health.TakeRecheck(now);
  (void)Probe(ProbeOutcome::kStranger);
  BOOST_TEST((health.state() == Reachability::kUnreachable));
}

// A probe that this instance could not make says nothing of the target.
BOOST_AUTO_TEST_CASE(a_probe_that_could_not_be_made_changes_nothing) {
  (void)Silence();
  (void)Probe(ProbeOutcome::kFailed);
  BOOST_TEST((health.state() == Reachability::kReachable));
}

BOOST_AUTO_TEST_CASE(connections_without_answered_flows_lead_to_an_identity) {
  (void)Silence();
  (void)Probe(ProbeOutcome::kAccepted);
  now += TargetHealth::kProbePause;
  BOOST_TEST((Silence() == ProbeKind::kIdentity));
  (void)Probe(ProbeOutcome::kAccepted);
  BOOST_TEST((health.state() == Reachability::kUnresponsive));
  BOOST_TEST(!health.accepts(now));
  BOOST_TEST(health.accepts(now + TargetHealth::kUnresponsiveTime));
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace sapphirestream
