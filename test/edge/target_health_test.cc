// Guards against live targets that are considered unreachable, and against
// unreachable ones that are used again.
#include "sapphirestream/edge/target_health.h"

#include <boost/test/unit_test.hpp>

namespace sapphirestream {
namespace {

using namespace std::chrono_literals;

struct Fixture {
  // Reports an opening packet that was sent at `now` and not answered in time.
  std::optional<ProbeKind> Unanswered() {
    const TimePoint since = now;
    now += 45ms;
    return health.OnUnanswered(since, /*opening=*/true, now);
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

BOOST_AUTO_TEST_CASE(an_unanswered_opening_only_starts_a_probe) {
  BOOST_TEST((Unanswered() == ProbeKind::kConnection));
  BOOST_TEST((health.state() == Reachability::kSuspect));
  BOOST_TEST(health.AcceptsNewFlows(now));
  BOOST_TEST(!Probe(ProbeOutcome::kAccepted));
  BOOST_TEST((health.state() == Reachability::kReachable));
}

BOOST_AUTO_TEST_CASE(progress_after_the_opening_prevents_a_probe) {
  const TimePoint since = now;
  now += 10ms;
  health.OnFlowProgress(now);
  now += 35ms;
  BOOST_TEST(!health.OnUnanswered(since, true, now).has_value());
}

// Other flows made progress while the probe's packets were lost.
BOOST_AUTO_TEST_CASE(progress_during_a_probe_overrides_its_timeout) {
  (void)Unanswered();
  const TimePoint begun = now;
  now += 30ms;
  health.OnFlowProgress(now);
  now += 30ms;
  BOOST_TEST(!health.OnProbe(ProbeOutcome::kSilent, begun, now));
  BOOST_TEST((health.state() == Reachability::kReachable));
}

BOOST_AUTO_TEST_CASE(a_failed_probe_makes_the_target_unreachable) {
  (void)Unanswered();
  BOOST_TEST(Probe(ProbeOutcome::kSilent, 60ms));
  BOOST_TEST(!health.AcceptsNewFlows(now));
  BOOST_TEST(!health.StartRecheckIfDue(now));
  now += TargetHealth::kRecheckInterval;
  BOOST_TEST(health.StartRecheckIfDue(now));
  BOOST_TEST(!health.StartRecheckIfDue(now));
  BOOST_TEST(!Probe(ProbeOutcome::kSilent, 60ms));
  BOOST_TEST(health.failed_probes() == 2U);
}

BOOST_AUTO_TEST_CASE(
    an_unreachable_target_that_identifies_itself_is_reachable) {
  (void)Unanswered();
  (void)Probe(ProbeOutcome::kRefused);
  now += TargetHealth::kRecheckInterval;
  (void)health.StartRecheckIfDue(now);
  (void)Probe(ProbeOutcome::kAccepted);
  BOOST_TEST(health.AcceptsNewFlows(now));
  BOOST_TEST(health.failed_probes() == 0U);
}

// The address was reassigned to another target, which accepts connections.
BOOST_AUTO_TEST_CASE(another_target_at_the_address_does_not_make_it_reachable) {
  (void)Unanswered();
  (void)Probe(ProbeOutcome::kSilent, 60ms);
  now += TargetHealth::kRecheckInterval;
  (void)health.StartRecheckIfDue(now);
  (void)Probe(ProbeOutcome::kStranger);
  BOOST_TEST((health.state() == Reachability::kUnreachable));
}

// A probe that fails locally says nothing about the target.
BOOST_AUTO_TEST_CASE(a_probe_that_fails_locally_changes_nothing) {
  (void)Unanswered();
  (void)Probe(ProbeOutcome::kFailed);
  BOOST_TEST((health.state() == Reachability::kReachable));
}

BOOST_AUTO_TEST_CASE(
    accepted_connections_without_answered_flows_need_an_identity_probe) {
  (void)Unanswered();
  (void)Probe(ProbeOutcome::kAccepted);
  now += TargetHealth::kMinProbeInterval;
  BOOST_TEST((Unanswered() == ProbeKind::kIdentity));
  (void)Probe(ProbeOutcome::kAccepted);
  BOOST_TEST((health.state() == Reachability::kUnresponsive));
  BOOST_TEST(!health.AcceptsNewFlows(now));
  BOOST_TEST(health.AcceptsNewFlows(now + TargetHealth::kUnresponsiveBackoff));
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace sapphirestream
