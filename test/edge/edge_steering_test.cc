// Guards against flows of live targets that are reset or change their target,
// against packets that reach the wrong service, and against clients that wait
// for an unreachable target.
#include "sapphirestream/edge/edge_steering.h"

#include <boost/test/unit_test.hpp>
#include <string>
#include <vector>

#include "test/edge/sample.h"
#include "testing/manual_clock.h"

namespace sapphirestream {
namespace {

using namespace std::chrono_literals;
using sample::Data;
using sample::Syn;

struct Fixture : EdgeSink, LogSink {
  struct Sent {
    TargetKey target{};
    std::optional<FlowToken> token;
  };

  Fixture() {
    routes.Apply(sample::Routes(1));
    for (std::uint64_t key : {1, 2, 3}) Add(sample::Target(key, "a"));
    Add(sample::Target(9, "a", "intake"));
  }

  void Forward(TargetKey target, V4Endpoint /*address*/,
               std::span<const std::byte> /*packet*/,
               std::optional<FlowToken> token) override {
    sent.push_back({target, token});
  }
  void Reset(const ClientReset& reset) override { resets.push_back(reset); }
  void Probe(const ProbeRequest& probe) override {
    probes.push_back(probe.target);
    probe_begun = clock.Now();
  }
  void RefreshTargets() override { ++refreshes; }
  void Write(LogLevel /*level*/, const std::string& line) override {
    lines.push_back(line);
  }

  void Add(const TargetRecord& record) {
    targets.Upsert(record, ++revision, /*propagated=*/true, clock.Now());
  }
  void Handle(const EdgePacket& packet) {
    steering.OnPacket(packet, clock.Now());
  }
  void Advance(Duration by) {
    clock.Advance(by);
    steering.Tick(clock.Now());
  }
  void FinishProbe(TargetKey target, ProbeOutcome outcome) {
    steering.OnProbe(target, outcome, probe_begun, clock.Now());
  }
  // Opens a flow and completes its first request; returns its target.
  TargetKey Open(std::uint32_t client, V4Endpoint service = sample::kFeed) {
    Handle(Syn(client, service));
    const TargetKey target = sent.back().target;
    clock.Advance(10ms);
    Handle(Data(client, service, targets.TokenOf(target), 101, 100, 1));
    clock.Advance(30ms);
    Handle(Data(client, service, targets.TokenOf(target), 201, 0, 2001));
    return target;
  }
  // Sends the flow's second request; repeated calls are retransmissions.
  void Request(std::uint32_t client, TargetKey target,
               V4Endpoint service = sample::kFeed) {
    Handle(Data(client, service, targets.TokenOf(target), 201, 100, 2001));
  }
  // Makes a probe report that the target is unreachable.
  void MakeUnreachable(TargetKey target) {
    EdgeTarget& unreachable = *targets.Find(target);
    (void)unreachable.health.OnUnanswered(clock.Now(), true, clock.Now() + 1ms);
    probe_begun = clock.Now() + 1ms;
    clock.Advance(60ms);
    FinishProbe(target, ProbeOutcome::kSilent);
  }

  testing::ManualClock clock;
  EventLog log{*this, clock, 10000};
  RouteTable routes;
  TargetDirectory targets{routes, "a"};
  EdgeLog flow_log{log, routes};
  CounterSet counters;
  EdgeSteering steering{routes, targets, *this, flow_log, counters, 256};
  std::uint64_t revision = 0;
  std::vector<Sent> sent;
  std::vector<ClientReset> resets;
  std::vector<TargetKey> probes;
  TimePoint probe_begun;
  int refreshes = 0;
  std::vector<std::string> lines;
};

BOOST_FIXTURE_TEST_SUITE(edge_steering, Fixture)

BOOST_AUTO_TEST_CASE(any_instance_forwards_by_the_token) {
  Handle(Syn(1, sample::kFeed));
  BOOST_REQUIRE(sent.size() == 1U);
  BOOST_REQUIRE(sent[0].token.has_value());
  // Another instance that has not seen the flow before.
  EdgeSteering other(routes, targets, *this, flow_log, counters, 256);
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

// Regression: a newly added instance reset open flows because it had not read
// the configuration yet.
BOOST_AUTO_TEST_CASE(without_a_configuration_nothing_is_reset) {
  RouteTable no_routes;
  EdgeSteering fresh(no_routes, targets, *this, flow_log, counters, 256);
  fresh.OnPacket(
      Data(1, sample::kFeed, targets.TokenOf(TargetKey{1}), 101, 100, 1),
      clock.Now());
  fresh.OnPacket(Syn(1, sample::kFeed), clock.Now());
  BOOST_TEST(resets.empty());
  BOOST_TEST(sent.empty());
}

// Other instances may already know the route of an open flow.
BOOST_AUTO_TEST_CASE(only_removed_routes_reset_open_flows) {
  Handle(Data(1, sample::kNowhere, FlowToken{5}, 101, 100, 7));
  BOOST_TEST(resets.empty());
  routes.Apply(sample::Routes(2));
  Handle(Data(1, sample::kShortLived, FlowToken{5}, 101, 100, 7));
  BOOST_REQUIRE(resets.size() == 1U);
  BOOST_TEST(resets[0].sequence == 7U);
}

BOOST_AUTO_TEST_CASE(an_opening_packet_without_a_route_is_reset_immediately) {
  Handle(Syn(1, sample::kNowhere));
  BOOST_TEST(resets.size() == 1U);
}

BOOST_AUTO_TEST_CASE(a_flow_is_refused_immediately_without_targets) {
  for (std::uint64_t key : {1, 2, 3}) {
    targets.Erase(TargetKey{key}, ++revision, false, clock.Now());
  }
  Handle(Syn(1, sample::kFeed));
  BOOST_TEST(sent.empty());
  BOOST_TEST(resets.size() == 1U);
}

// Regression: instances that started during a store outage refused flows for
// the 2 s that targets with expired entries need to register again.
BOOST_AUTO_TEST_CASE(a_flow_is_not_refused_while_targets_register_again) {
  for (std::uint64_t key : {1, 2, 3}) {
    targets.Erase(TargetKey{key}, ++revision, false, clock.Now());
  }
  steering.OnPacket(Syn(1, sample::kFeed), clock.Now(),
                    /*targets_recovering=*/true);
  BOOST_TEST(sent.empty());
  BOOST_TEST(resets.empty());
  Add(sample::Target(4, "a"));
  clock.Advance(200ms);
  steering.OnPacket(Syn(1, sample::kFeed, 1), clock.Now(),
                    /*targets_recovering=*/true);
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

BOOST_AUTO_TEST_CASE(an_answered_opening_packet_causes_no_probe) {
  Open(1);
  Advance(1s);
  BOOST_TEST(probes.empty());
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

// Each log line about a decision contains its inputs.
BOOST_AUTO_TEST_CASE(decisions_are_logged_with_their_inputs) {
  flow_log.OnTargetsRead(clock.Now());
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
