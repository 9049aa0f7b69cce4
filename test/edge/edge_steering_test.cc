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
    control = probe.control;
    probe_begun = clock.Now();
  }
  void RefreshTargets() override { ++refreshes; }
  void Write(LogLevel /*level*/, const std::string& line) override {
    lines.push_back(line);
  }

  void Add(const TargetRecord& record) {
    targets.Upsert(record, {StoreEra{1}, ++revision}, /*propagated=*/true,
                   clock.Now());
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
  // Control target of the last probe.
  std::optional<V4Endpoint> control;
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

BOOST_AUTO_TEST_CASE(an_opening_packet_dropped_after_a_pause_is_not_refused) {
  steering.DropOpening(Syn(1, sample::kFeed), clock.Now());
  BOOST_TEST(sent.empty());
  BOOST_TEST(resets.empty());
  BOOST_TEST(lines.back().find("view_outdated") != std::string::npos);
  // The retransmission is placed like a first packet.
  Handle(Syn(1, sample::kFeed, /*copies=*/1));
  BOOST_TEST(sent.size() == 1U);
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
    targets.Erase(TargetKey{key}, {StoreEra{1}, ++revision}, false,
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
    targets.Erase(TargetKey{key}, {StoreEra{1}, ++revision}, false,
                  clock.Now());
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
