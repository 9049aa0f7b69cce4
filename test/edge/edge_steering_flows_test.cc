// Guards against flows of live targets that are reset or change their target,
// and against packets that reach the wrong service.
#include <boost/test/unit_test.hpp>

#include "sapphirestream/base/id.h"
#include "sapphirestream/edge/edge_steering.h"
#include "test/edge/edge_steering_fixture.h"

namespace sapphirestream {
namespace {

using namespace std::chrono_literals;
using sample::Data;
using sample::Syn;

BOOST_FIXTURE_TEST_SUITE(edge_steering, EdgeSteeringFixture)

BOOST_AUTO_TEST_CASE(any_instance_forwards_by_the_token) {
  Handle(Syn(1, sample::kFeed));
  BOOST_REQUIRE(sent.size() == 1U);
  BOOST_REQUIRE(sent[0].token.has_value());
  // Another instance that has not seen the flow before.
  EdgeSteering other(routes, targets, *this, flow_log, counters, decisions,
                     options);
  other.OnPacket(Data(1, sample::kFeed, *sent[0].token, 101, 100, 1),
                 clock.Now());
  BOOST_REQUIRE(sent.size() == 2U);
  BOOST_TEST((sent[1].target == sent[0].target));
  BOOST_TEST(!sent[1].token.has_value());
}

BOOST_AUTO_TEST_CASE(a_token_of_another_service_is_dropped) {
  Handle(Data(1, sample::kFeed, targets.TokenOf(TargetKey{9}), 101, 100, 1));
  BOOST_TEST(sent.empty());
  BOOST_TEST(resets.empty());
}

// Another instance may already know the target.
BOOST_AUTO_TEST_CASE(
    an_unknown_token_is_dropped_and_refreshes_the_target_list) {
  Handle(Data(1, sample::kFeed, FlowToken{77}, 101, 100, 1));
  Handle(Data(2, sample::kFeed, FlowToken{78}, 101, 100, 1));
  BOOST_TEST(sent.empty());
  BOOST_TEST(resets.empty());
  BOOST_TEST(refreshes == 1);
}

// After a late answer of the first target, the client uses its token in a flow
// that the second target has opened.
BOOST_AUTO_TEST_CASE(a_moved_flow_stays_with_the_target_that_opened_it) {
  Handle(Syn(1, sample::kFeed));
  const TargetKey first = sent.back().target;
  Advance(EdgeSteering::kOpeningTimeout);
  clock.Advance(60ms);
  FinishProbe(first, ProbeOutcome::kSilent);
  const TargetKey second = sent.back().target;
  Handle(Data(1, sample::kFeed, targets.TokenOf(second), 101, 100, 1));
  Handle(Data(1, sample::kFeed, targets.TokenOf(first), 201, 100, 500));
  BOOST_TEST((sent.back().target == second));
  // Regression found by the soak test: after this instance had stopped, other
  // instances forwarded the flow by the first target's token.
  BOOST_TEST((sent.back().token == targets.TokenOf(second)));
  Handle(Data(1, sample::kFeed, targets.TokenOf(second), 301, 100, 900));
  BOOST_TEST(!sent.back().token.has_value());
}

// A client port is used again while this instance remembers the former flow,
// whose opening packet had been moved. The new flow was sent to the target of
// the former one, which reset it.
BOOST_AUTO_TEST_CASE(a_reused_port_is_not_steered_by_a_former_moved_flow) {
  for (const bool end_was_seen : {false, true}) {
    Handle(Syn(1, sample::kFeed));
    const TargetKey first = sent.back().target;
    Advance(EdgeSteering::kOpeningTimeout);
    clock.Advance(60ms);
    FinishProbe(first, ProbeOutcome::kSilent);
    const TargetKey second = sent.back().target;
    BOOST_REQUIRE((second != first));
    EdgePacket last =
        Data(1, sample::kFeed, targets.TokenOf(second), 101, 100, 1);
    last.finishes = end_was_seen;
    Handle(last);
    // Opened through another instance.
    const std::uint32_t start = end_was_seen ? 300 : 0x50000000;
    Handle(Data(1, sample::kFeed, targets.TokenOf(first), start, 100, 7));
    BOOST_TEST((sent.back().target == first));
    BOOST_TEST(!sent.back().token.has_value());
    targets.Find(first)->health = {};
  }
}

// A target under load responds late, so a retransmission alone does not show
// that it has failed.
BOOST_AUTO_TEST_CASE(a_slow_target_keeps_its_flows) {
  const TargetKey target = Open(1);
  clock.Advance(1s);
  Request(1, target);
  clock.Advance(200ms);
  Request(1, target);
  BOOST_TEST(probes.size() == 1U);
  FinishProbe(target, ProbeOutcome::kAccepted);
  clock.Advance(400ms);
  Request(1, target);
  BOOST_TEST(resets.empty());
  BOOST_TEST((sent.back().target == target));
}

BOOST_AUTO_TEST_CASE(
    a_retransmitted_request_to_an_unreachable_target_is_reset) {
  const TargetKey target = Open(1);
  clock.Advance(1s);
  Request(1, target);
  clock.Advance(200ms);
  Request(1, target);
  clock.Advance(60ms);
  FinishProbe(target, ProbeOutcome::kSilent);
  BOOST_REQUIRE(resets.size() == 1U);
  BOOST_TEST(resets[0].sequence == 2001U);
}

// One failed probe is not sufficient for a flow without a retransmission.
BOOST_AUTO_TEST_CASE(a_first_request_is_reset_only_after_two_failed_probes) {
  const TargetKey target = Open(1);
  MakeUnreachable(target);
  Request(1, target);
  BOOST_TEST(resets.empty());
  Advance(TargetHealth::kRecheckInterval);
  clock.Advance(60ms);
  FinishProbe(target, ProbeOutcome::kSilent);
  Handle(Data(1, sample::kFeed, targets.TokenOf(target), 301, 100, 2001));
  BOOST_TEST(resets.size() == 1U);
}

// A failure domain was cut off, and the entries of its targets expired. After
// it they registered again, but were never probed again: instances of other
// domains reset their flows for as long as nothing else started a probe.
BOOST_AUTO_TEST_CASE(a_target_that_registers_again_keeps_its_new_flows) {
  const TargetKey target = Open(1);
  MakeUnreachable(target);
  Advance(TargetHealth::kRecheckInterval);
  FinishProbe(target, ProbeOutcome::kSilent);
  Remove(target);
  Advance(3s);
  Add(targets.Find(target)->record);
  // Opened through another instance.
  Handle(Data(2, sample::kFeed, targets.TokenOf(target), 101, 100, 1));
  BOOST_TEST(resets.empty());
  BOOST_TEST((sent.back().target == target));
}

// The copy of a restored store does not show that the target lives, so that
// its health is kept; the target must be probed again.
BOOST_AUTO_TEST_CASE(an_unreachable_target_that_returns_in_a_copy_is_probed) {
  const TargetKey target = Open(1);
  MakeUnreachable(target);
  Remove(target);
  Advance(TargetHealth::kRecheckInterval);
  Advance(TargetHealth::kRecheckInterval);
  probes.clear();
  targets.Upsert(targets.Find(target)->record, {StoreEra{2}, 1},
                 /*propagated=*/true, clock.Now());
  Advance(TargetHealth::kRecheckInterval);
  BOOST_REQUIRE(probes.size() == 1U);
  FinishProbe(target, ProbeOutcome::kAccepted);
  BOOST_TEST(
      (targets.Find(target)->health.state() == Reachability::kReachable));
}

// The cut had ended, but the target's entry was not written again yet.
BOOST_AUTO_TEST_CASE(a_target_without_an_entry_is_probed_before_a_reset) {
  const TargetKey target = Open(1);
  MakeUnreachable(target);
  Remove(target);
  Advance(2s);
  probes.clear();
  Handle(Data(2, sample::kFeed, targets.TokenOf(target), 101, 100, 1));
  BOOST_TEST(resets.empty());
  BOOST_REQUIRE(probes.size() == 1U);
  clock.Advance(6ms);
  FinishProbe(target, ProbeOutcome::kAccepted);
  Handle(Data(2, sample::kFeed, targets.TokenOf(target), 201, 100, 600));
  BOOST_TEST(resets.empty());
}

// Soak seeds 117, 250 and 7008: an instance had found a crashed target
// unreachable, and reset flows that another one opened after its restart.
BOOST_AUTO_TEST_CASE(a_request_is_not_reset_on_an_older_probe) {
  const TargetKey target = Open(1);
  MakeUnreachable(target);
  Advance(TargetHealth::kRecheckInterval);
  FinishProbe(target, ProbeOutcome::kRefused);
  clock.Advance(200ms);
  probes.clear();
  Handle(Data(2, sample::kFeed, targets.TokenOf(target), 101, 100, 1));
  BOOST_TEST(resets.empty());
  BOOST_REQUIRE(probes.size() == 1U);
  clock.Advance(6ms);
  FinishProbe(target, ProbeOutcome::kRefused);
  BOOST_TEST(resets.size() == 1U);
}

// A control target tells silence of the target from a full link of this
// instance, also if the target was unreachable before.
BOOST_AUTO_TEST_CASE(a_probe_that_may_reset_a_request_has_a_control) {
  const TargetKey target = Open(1);
  MakeUnreachable(target);
  clock.Advance(200ms);
  std::uint32_t client = 2;
  while (Open(client) == target) ++client;
  Handle(Data(90, sample::kFeed, targets.TokenOf(target), 101, 100, 1));
  BOOST_REQUIRE((probes.back() == target));
  BOOST_TEST(control.has_value());
}

// After a pause, packets are handled before the timers that renew the probes.
BOOST_AUTO_TEST_CASE(a_request_is_not_reset_on_a_probe_from_before_a_pause) {
  const TargetKey target = Open(1);
  Request(1, target);
  MakeUnreachable(target);
  clock.Advance(5s);
  Request(1, target);
  BOOST_TEST(resets.empty());
}

// The probe of the former process ended after the new one had registered.
BOOST_AUTO_TEST_CASE(a_probe_from_before_a_restart_is_ignored) {
  const TargetKey target = Open(1);
  Request(1, target);
  clock.Advance(200ms);
  Request(1, target);
  BOOST_REQUIRE(probes.size() == 1U);
  clock.Advance(10ms);
  TargetRecord record = targets.Find(target)->record;
  record.incarnation = Incarnation{Value(record.incarnation) + 1};
  Add(record);
  clock.Advance(50ms);
  for (const auto outcome : {ProbeOutcome::kSilent, ProbeOutcome::kStranger}) {
    FinishProbe(target, outcome);
    BOOST_TEST(
        (targets.Find(target)->health.state() == Reachability::kReachable));
    BOOST_TEST((targets.Find(target)->presence == TargetPresence::kListed));
  }
  BOOST_TEST(resets.empty());
}

// The target may still process the request and answer the client directly.
BOOST_AUTO_TEST_CASE(a_non_idempotent_request_is_not_reset) {
  const TargetKey target = Open(1, sample::kOrders);
  MakeUnreachable(target);
  Request(1, target, sample::kOrders);
  clock.Advance(200ms);
  Request(1, target, sample::kOrders);
  BOOST_TEST(resets.empty());
}

// A target that is shutting down refuses connections but completes its flows.
BOOST_AUTO_TEST_CASE(a_draining_target_keeps_its_flows) {
  const TargetKey target = Open(1);
  TargetRecord record = targets.Find(target)->record;
  record.draining = true;
  Add(record);
  MakeUnreachable(target);
  Request(1, target);
  clock.Advance(200ms);
  Request(1, target);
  BOOST_TEST(resets.empty());
  BOOST_TEST((sent.back().target == target));
}

// Reordered packets do not indicate a failure.
BOOST_AUTO_TEST_CASE(reordered_packets_do_not_count_as_retransmissions) {
  Handle(Syn(1, sample::kPhotos));
  const FlowToken token = *sent.back().token;
  Handle(Data(1, sample::kPhotos, token, 1301, 1200, 1));
  clock.Advance(2ms);
  Handle(Data(1, sample::kPhotos, token, 101, 1200, 1));
  BOOST_TEST(probes.empty());
}

BOOST_AUTO_TEST_CASE(a_request_counts_as_load_until_it_is_answered_or_expires) {
  Handle(Syn(1, sample::kFeed));
  EdgeTarget& target = *targets.Find(sent.back().target);
  BOOST_TEST(target.outstanding == 1U);
  Handle(Data(1, sample::kFeed, *sent.back().token, 101, 100, 1));
  BOOST_TEST(target.outstanding == 1U);
  Handle(
      Data(1, sample::kFeed, targets.TokenOf(target.record.key), 201, 0, 2001));
  BOOST_TEST(target.outstanding == 0U);
  Request(1, target.record.key);
  BOOST_TEST(target.outstanding == 1U);
  Advance(EdgeSteering::kMaxRequestTime);
  BOOST_TEST(target.outstanding == 0U);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace sapphirestream
