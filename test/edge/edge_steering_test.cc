// Guards against opening packets that are refused, doubled or left waiting for
// an unreachable target, and against packets without a route that reset a flow.
#include "sapphirestream/edge/edge_steering.h"

#include <boost/test/unit_test.hpp>
#include <string>

#include "test/edge/edge_steering_fixture.h"

namespace sapphirestream {
namespace {

using namespace std::chrono_literals;
using sample::Data;
using sample::Syn;

BOOST_FIXTURE_TEST_SUITE(edge_steering, EdgeSteeringFixture)

BOOST_AUTO_TEST_CASE(an_opening_packet_dropped_after_a_pause_is_not_refused) {
  steering.DropOpening(Syn(1, sample::kFeed), clock.Now());
  BOOST_TEST(sent.empty());
  BOOST_TEST(resets.empty());
  BOOST_TEST(lines.back().find("view_outdated") != std::string::npos);
  // The retransmission is placed like a first packet.
  Handle(Syn(1, sample::kFeed, /*copies=*/1));
  BOOST_TEST(sent.size() == 1U);
}

// Regression: a newly added instance reset open flows because it had not read
// the configuration yet.
BOOST_AUTO_TEST_CASE(without_a_configuration_nothing_is_reset) {
  RouteTable no_routes;
  EdgeSteering fresh(no_routes, targets, *this, flow_log, counters, decisions,
                     options);
  fresh.OnPacket(
      Data(1, sample::kFeed, targets.TokenOf(TargetKey{1}), 101, 100, 1),
      clock.Now());
  fresh.OnPacket(Syn(1, sample::kFeed), clock.Now());
  BOOST_TEST(resets.empty());
  BOOST_TEST(sent.empty());
}

BOOST_AUTO_TEST_CASE(an_opening_packet_without_a_route_is_reset_immediately) {
  Handle(Syn(1, sample::kNowhere));
  BOOST_TEST(resets.size() == 1U);
}

BOOST_AUTO_TEST_CASE(a_flow_is_refused_immediately_without_targets) {
  for (std::uint64_t key : {1, 2, 3}) {
    targets.Erase(TargetKey{key}, {StoreEra{1}, ++revision}, std::nullopt,
                  clock.Now());
  }
  Handle(Syn(1, sample::kFeed));
  BOOST_TEST(sent.empty());
  BOOST_TEST(resets.size() == 1U);
}

// Regression: instances that started during a store outage refused flows for
// the 2 s that targets with expired entries need to register again.
BOOST_AUTO_TEST_CASE(a_flow_is_not_refused_while_targets_register_again) {
  for (std::uint64_t key : {1, 2, 3}) {
    targets.Erase(TargetKey{key}, {StoreEra{1}, ++revision}, std::nullopt,
                  clock.Now());
  }
  steering.OnPacket(Syn(1, sample::kFeed), clock.Now(),
                    {.targets_recovering = true});
  BOOST_TEST(sent.empty());
  BOOST_TEST(resets.empty());
  Add(sample::Target(4, "a"));
  clock.Advance(200ms);
  steering.OnPacket(Syn(1, sample::kFeed, 1), clock.Now(),
                    {.targets_recovering = true});
  BOOST_TEST(sent.size() == 1U);
}

BOOST_AUTO_TEST_CASE(a_forged_answer_to_an_opening_packet_is_dropped) {
  EdgePacket packet = Syn(1, sample::kFeed);
  packet.acknowledges = true;
  Handle(packet);
  BOOST_TEST(sent.empty());
}

// The target's answer may only be delayed, and two targets must not answer.
BOOST_AUTO_TEST_CASE(retransmitted_opening_packets_go_to_the_same_target) {
  Handle(Syn(1, sample::kFeed));
  clock.Advance(200ms);
  Handle(Syn(1, sample::kFeed, 1));
  clock.Advance(400ms);
  Handle(Syn(1, sample::kFeed, 2));
  BOOST_REQUIRE(sent.size() == 3U);
  BOOST_TEST((sent[1].target == sent[0].target));
  BOOST_TEST((sent[2].target == sent[0].target));
}

BOOST_AUTO_TEST_CASE(
    an_unanswered_opening_packet_moves_off_an_unreachable_target) {
  Handle(Syn(1, sample::kFeed));
  const TargetKey first = sent.back().target;
  Advance(EdgeSteering::kOpeningTimeout);
  BOOST_REQUIRE(probes.size() == 1U);
  clock.Advance(60ms);
  FinishProbe(first, ProbeOutcome::kSilent);
  BOOST_REQUIRE(sent.size() == 2U);
  BOOST_TEST((sent[1].target != first));
  BOOST_TEST((sent[1].token == targets.TokenOf(sent[1].target)));
  BOOST_TEST(resets.empty());
}

// A probe through the full link of this instance stays unanswered although its
// target lives. An open flow was reset because of that.
BOOST_AUTO_TEST_CASE(a_probe_names_another_target_that_answered_recently) {
  Handle(Syn(1, sample::kFeed));
  const TargetKey silent = sent.back().target;
  std::uint32_t client = 2;
  TargetKey answering = Open(client);
  while (answering == silent) answering = Open(++client);
  Request(client, answering);
  clock.Advance(EdgeSteering::kOpeningTimeout);
  steering.Tick(clock.Now());
  BOOST_REQUIRE(!probes.empty());
  BOOST_TEST((probes.back() == silent));
  BOOST_REQUIRE(control.has_value());
  BOOST_TEST((*control == targets.Find(answering)->record.address));
}

BOOST_AUTO_TEST_CASE(a_probe_has_no_control_if_no_other_target_answers) {
  const TargetKey only = Open(1);
  clock.Advance(EdgeSteering::kControlMaxAge);
  std::uint32_t client = 2;
  do {
    Handle(Syn(client++, sample::kFeed));
  } while (sent.back().target == only);
  clock.Advance(1ms);
  Advance(EdgeSteering::kOpeningTimeout);
  BOOST_REQUIRE(!probes.empty());
  BOOST_TEST(!control.has_value());
}

// Two machines may lose power together, and the client retransmits only after
// 200 ms.
BOOST_AUTO_TEST_CASE(
    an_opening_packet_moves_again_if_its_second_target_is_unreachable) {
  Handle(Syn(1, sample::kFeed));
  Advance(EdgeSteering::kOpeningTimeout);
  clock.Advance(60ms);
  FinishProbe(sent.back().target, ProbeOutcome::kSilent);
  BOOST_REQUIRE(sent.size() == 2U);
  Advance(EdgeSteering::kOpeningTimeout);
  BOOST_REQUIRE(probes.size() == 2U);
  BOOST_TEST((probes[1] == sent[1].target));
  clock.Advance(60ms);
  FinishProbe(sent[1].target, ProbeOutcome::kSilent);
  BOOST_REQUIRE(sent.size() == 3U);
  BOOST_TEST((sent[2].target != sent[0].target));
  BOOST_TEST((sent[2].target != sent[1].target));
}

BOOST_AUTO_TEST_CASE(an_answered_opening_packet_causes_no_probe) {
  Open(1);
  Advance(1s);
  BOOST_TEST(probes.empty());
}

// Each log line about a decision contains its inputs.
BOOST_AUTO_TEST_CASE(decisions_are_logged_with_their_inputs) {
  flow_log.SetTargetsCompleteUntil(clock.Now());
  clock.Advance(250ms);
  Handle(Syn(1, sample::kFeed));
  BOOST_REQUIRE(!lines.empty());
  BOOST_TEST(lines.back().find("event=placed flow=100.64.0.0:1025>"
                               "198.18.0.1:8443 copy=0 service=desk target=") ==
             0U);
  BOOST_TEST(lines.back().find(" config=1 view_age_ms=250") !=
             std::string::npos);
  Handle(Data(1, sample::kFeed, *sent.back().token, 101, 100, 1));
  BOOST_TEST(lines.back().find("event=request request=r1 ") == 0U);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace sapphirestream
