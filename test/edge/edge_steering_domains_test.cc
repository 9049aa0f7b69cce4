// Guards against flows at targets of evacuated failure domains, and at cold
// targets, whose number of new flows is limited over all instances.
#include <boost/test/unit_test.hpp>
#include <memory>
#include <vector>

#include "test/edge/edge_steering_fixture.h"

namespace sapphirestream {
namespace {

using namespace std::chrono_literals;
using sample::Syn;

struct Fixture : EdgeSteeringFixture {
  Fixture() {
    RouteConfig config = sample::Routes(2);
    config.services[0].cold_start = 2s;
    config.services[0].cold_flows_per_s = 1.0;
    routes.Apply(config);
  }
  void SetColdFor(Duration time) {
    targets.ForEach(
        [&](EdgeTarget& target) { target.cold_until = clock.Now() + time; });
  }
};

BOOST_FIXTURE_TEST_SUITE(edge_steering_domains, Fixture)

BOOST_AUTO_TEST_CASE(openings_are_reset_if_all_domains_are_evacuated) {
  targets.SetEvacuated("a", true, clock.Now());
  Handle(Syn(1, sample::kFeed));
  BOOST_TEST(sent.empty());
  BOOST_TEST(resets.size() == 1U);
}

// The target may have received the first copy, but an opening packet must not
// reach it any more.
BOOST_AUTO_TEST_CASE(a_copy_of_an_opening_packet_leaves_an_evacuated_domain) {
  Add(sample::Target(4, "b"));
  Handle(Syn(1, sample::kFeed));
  BOOST_REQUIRE(sent.size() == 1U);
  targets.SetEvacuated("a", true, clock.Now());
  Advance(200ms);
  Handle(Syn(1, sample::kFeed, /*copies=*/1));
  BOOST_REQUIRE(sent.size() == 2U);
  BOOST_TEST((sent[1].target == TargetKey{4}));
}

BOOST_AUTO_TEST_CASE(open_flows_stay_in_an_evacuated_domain) {
  const TargetKey target = Open(1);
  targets.SetEvacuated("a", true, clock.Now());
  Request(1, target);
  BOOST_TEST((sent.back().target == target));
  BOOST_TEST(resets.empty());
}

BOOST_AUTO_TEST_CASE(a_cold_target_gets_no_new_flow) {
  targets.Find(TargetKey{1})->cold_until = clock.Now() + 1s;
  for (std::uint32_t client = 0; client < 100; ++client) {
    Handle(Syn(client, sample::kFeed));
    BOOST_TEST((sent.back().target != TargetKey{1}));
  }
}

// Instances that know nothing of each other must not exceed the limit together.
BOOST_AUTO_TEST_CASE(many_instances_send_no_flow_to_cold_targets) {
  SetColdFor(1s);
  std::vector<std::unique_ptr<EdgeSteering>> instances;
  for (int i = 0; i < 300; ++i) {
    instances.push_back(std::make_unique<EdgeSteering>(
        routes, targets, *this, flow_log, counters, decisions, options));
    instances.back()->OnPacket(
        Syn(static_cast<std::uint32_t>(i), sample::kFeed), clock.Now());
  }
  BOOST_TEST(sent.empty());
}

// The client repeats its opening packet 600 ms after the first one, when the
// target is warm; a reset would cost it one of its attempts.
BOOST_AUTO_TEST_CASE(an_opening_waits_if_a_target_is_warm_at_its_last_copy) {
  SetColdFor(500ms);
  Handle(Syn(1, sample::kFeed));
  BOOST_TEST(resets.empty());
  Advance(600ms);
  Handle(Syn(1, sample::kFeed, /*copies=*/2));
  BOOST_TEST(sent.size() == 1U);
}

BOOST_AUTO_TEST_CASE(an_opening_is_reset_if_no_target_is_warm_in_time) {
  SetColdFor(700ms);
  Handle(Syn(1, sample::kFeed));
  BOOST_TEST(resets.size() == 1U);
  SetColdFor(500ms);
  Handle(Syn(2, sample::kFeed, /*copies=*/1));
  BOOST_TEST(resets.size() == 2U);
}

BOOST_AUTO_TEST_CASE(a_service_without_a_limit_uses_its_cold_targets) {
  targets.Find(TargetKey{9})->cold_until = clock.Now() + 5s;
  Handle(Syn(1, sample::kPhotos));
  BOOST_TEST(sent.size() == 1U);
}

// It may have restarted, and its entry may be read only later.
BOOST_AUTO_TEST_CASE(a_target_that_returns_is_cold) {
  MakeUnreachable(TargetKey{1});
  clock.Advance(TargetHealth::kRecheckInterval);
  probe_begun = clock.Now();
  FinishProbe(TargetKey{1}, ProbeOutcome::kAccepted);
  BOOST_TEST((targets.Find(TargetKey{1})->cold_until == clock.Now() + 2s));
}

// Moving an opening packet through all targets of a domain that is cut off
// takes longer than its client waits.
BOOST_AUTO_TEST_CASE(targets_of_a_domain_that_is_cut_off_come_last) {
  for (std::uint64_t key : {11, 12, 13, 14}) Add(sample::Target(key, "b"));
  for (std::uint64_t key : {11, 12, 13}) MakeUnreachable(TargetKey{key});
  const EdgeTarget& other = *targets.Find(TargetKey{14});
  const PlacementQuery query{.now = clock.Now()};
  BOOST_TEST((TierOf(other, query) == PlacementTier::kUnproven));
  BOOST_TEST((TierOf(*targets.Find(TargetKey{1}), query) ==
              PlacementTier::kLocalSlot));
  Open(1);
  targets.SetEvacuated("a", true, clock.Now());
  const TargetKey target = Open(2);
  BOOST_TEST((target == TargetKey{14}));
  BOOST_TEST(
      (TierOf(other, {.now = clock.Now()}) == PlacementTier::kRemoteSlot));
}

// Each failure domain serves on when it is cut off from the others and from the
// store, where the evacuation may have ended meanwhile.
BOOST_AUTO_TEST_CASE(a_domain_that_is_cut_off_uses_its_evacuated_targets) {
  for (std::uint64_t key : {11, 12, 13}) Add(sample::Target(key, "b"));
  targets.SetEvacuated("a", true, clock.Now());
  for (std::uint64_t key : {11, 12, 13}) MakeUnreachable(TargetKey{key});
  steering.OnPacket(Syn(1, sample::kFeed), clock.Now());
  BOOST_TEST(resets.size() == 1U);
  steering.OnPacket(Syn(2, sample::kFeed), clock.Now(),
                    {.evacuations_unconfirmed = true});
  BOOST_REQUIRE(!sent.empty());
  BOOST_TEST(targets.Find(sent.back().target)->is_local);
}

// Regression: a partition that resets connections counted as an answer of the
// other domain, and the domain that was cut off refused all new flows.
BOOST_AUTO_TEST_CASE(refused_probes_show_that_a_domain_is_cut_off) {
  for (std::uint64_t key : {11, 12, 13, 14}) Add(sample::Target(key, "b"));
  targets.SetEvacuated("a", true, clock.Now());
  for (std::uint64_t key : {11, 12, 13}) {
    MakeUnreachable(TargetKey{key}, ProbeOutcome::kRefused);
  }
  steering.OnPacket(Syn(1, sample::kFeed), clock.Now(),
                    {.evacuations_unconfirmed = true});
  BOOST_REQUIRE(!sent.empty());
  BOOST_TEST(targets.Find(sent.back().target)->is_local);
}

// Regression: the other domain's targets had failed while the store was away.
BOOST_AUTO_TEST_CASE(failed_targets_elsewhere_do_not_end_an_evacuation) {
  Add(sample::Target(11, "b"));
  targets.SetEvacuated("a", true, clock.Now());
  MakeUnreachable(TargetKey{11});
  steering.OnPacket(Syn(1, sample::kFeed), clock.Now(),
                    {.evacuations_unconfirmed = true});
  BOOST_TEST(sent.empty());
  BOOST_TEST(resets.size() == 1U);
}

BOOST_AUTO_TEST_CASE(no_flow_is_wanted_if_all_domains_are_evacuated) {
  targets.SetEvacuated("a", true, clock.Now());
  steering.OnPacket(Syn(1, sample::kFeed), clock.Now(),
                    {.evacuations_unconfirmed = true});
  BOOST_TEST(resets.size() == 1U);
}

// If most targets return at the same time, the path to them was cut; taking all
// of them for cold would refuse every flow.
BOOST_AUTO_TEST_CASE(targets_that_return_together_are_not_cold) {
  for (std::uint64_t key : {1, 2, 3}) MakeUnreachable(TargetKey{key});
  clock.Advance(TargetHealth::kRecheckInterval);
  probe_begun = clock.Now();
  FinishProbe(TargetKey{1}, ProbeOutcome::kAccepted);
  BOOST_TEST((targets.Find(TargetKey{1})->cold_until <= clock.Now()));
}

BOOST_AUTO_TEST_CASE(a_copy_of_an_opening_packet_leaves_a_cold_target) {
  Handle(Syn(1, sample::kFeed));
  const TargetKey first = sent.back().target;
  targets.Find(first)->cold_until = clock.Now() + 5s;
  Advance(200ms);
  Handle(Syn(1, sample::kFeed, /*copies=*/1));
  BOOST_TEST((sent.back().target != first));
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace sapphirestream
