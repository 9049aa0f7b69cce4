// Guards against violations of the placement rules; each case names the
// failure.
#include "sapphirestream/target/least_load_placer.h"

#include <boost/test/unit_test.hpp>
#include <optional>

#include "sapphirestream/target/scheduler_factory.h"
#include "test/target/allocation_count.h"

namespace sapphirestream {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr DomainId kOwnDomain{1};
constexpr DomainId kOtherDomain{2};
constexpr InstanceId kPeer{9};

struct Fixture {
  // Targets 1 and 2 are in the own domain, 3 and 4 in another one.
  Fixture() {
    service.kind = FlowKind::kRequest;
    service.idempotent = false;
    for (std::uint32_t i = 1; i <= 4; ++i) {
      Target& target = service.targets.emplace_back();
      target.id = TargetId{i};
      target.domain = i <= 2 ? kOwnDomain : kOtherDomain;
    }
  }
  void UseStreams() {
    service.kind = FlowKind::kStream;
    service.idempotent = true;
  }
  void Start() { placer.emplace(service, preset, kOwnDomain); }
  std::uint32_t Place(std::uint32_t hash_target = 0, Duration waited = {}) {
    last_placement = placer->Place({.flow_hash = ++hash,
                                    .hash_target = TargetId{hash_target},
                                    .waited = waited},
                                   now);
    return Value(last_placement.target);
  }
  void PlaceMany(int count) {
    for (int i = 0; i < count; ++i) Place();
  }
  [[nodiscard]] std::uint32_t OpenOn(std::uint32_t target) const {
    for (const PlacementCount& count : placer->OwnCounts()) {
      if (count.target == TargetId{target}) return count.open;
    }
    return 0;
  }
  void Report(std::uint32_t target, std::uint32_t busy, std::uint32_t open,
              bool shedding = false) {
    placer->Report({TargetId{target}, busy, open, shedding, now}, now);
  }

  Service service;
  Preset preset;
  std::optional<LeastLoadPlacer> placer;
  Placement last_placement;
  std::uint64_t hash = 0;
  TimePoint now{seconds(1000)};
};

BOOST_FIXTURE_TEST_SUITE(least_load_placer, Fixture)

// Failure: flows are not placed on their hash target although it has a free
// slot, so that their records need an acknowledgement.
BOOST_AUTO_TEST_CASE(a_free_hash_target_comes_first) {
  Start();
  BOOST_TEST(Place(2) == 2U);
  BOOST_TEST(Place(2) == 2U);
  BOOST_TEST(Place(2) == 1U);
}

// Failure: requests queue at a busy target while slots are free elsewhere, or
// are refused instead of waiting.
BOOST_AUTO_TEST_CASE(own_domain_is_used_before_others_and_before_waiting) {
  Start();
  for (int i = 0; i < 4; ++i) {
    Place();
    BOOST_TEST(!last_placement.spilled);
  }
  for (int i = 0; i < 4; ++i) {
    Place();
    BOOST_TEST(last_placement.spilled);
  }
  // One more request is queued at each target, those of the own domain first.
  for (int i = 0; i < 4; ++i) {
    Place();
    BOOST_TEST(last_placement.spilled == (i >= 2));
  }
  BOOST_TEST(Place() == 0U);
  BOOST_TEST((last_placement.kind == PlacementKind::kWait));
  placer->End(TargetId{3}, now);
  BOOST_TEST(Place() == 3U);
}

// Failure: two schedulers take the same last slot of a domain, because their
// counts of each other are outdated.
BOOST_AUTO_TEST_CASE(last_slots_of_other_domains_are_reserved_at_first) {
  Start();
  placer->SetPeerCounts(kPeer, std::vector<PlacementCount>{{TargetId{3}, 1}},
                        now);
  PlaceMany(6);
  BOOST_TEST(OpenOn(1) + OpenOn(2) == 6U);
  BOOST_TEST(Place() == 0U);
  BOOST_TEST(Place(0, milliseconds(60)) == 4U);
  BOOST_TEST(Place(0, milliseconds(60)) == 0U);
  BOOST_TEST(Place(0, milliseconds(160)) != 0U);
}

// Failure: flows that may not wait are refused because of the reserve.
BOOST_AUTO_TEST_CASE(no_reserve_without_time_to_wait) {
  preset.max_wait = milliseconds(0);
  Start();
  placer->SetPeerCounts(kPeer, std::vector<PlacementCount>{{TargetId{3}, 1}},
                        now);
  PlaceMany(4);
  BOOST_TEST(Place() == 4U);
}

// Failure: spilling starts and stops with every flow near the threshold.
BOOST_AUTO_TEST_CASE(spilling_stops_below_the_threshold_only) {
  preset.spill_permille = 750;
  preset.spill_hysteresis_permille = 500;
  Start();
  PlaceMany(3);
  Place();
  BOOST_TEST(last_placement.spilled);
  const TargetId busy{OpenOn(1) == 2 ? 1U : 2U};
  const TargetId idle{Value(busy) == 1 ? 2U : 1U};
  placer->End(busy, now);
  Place();
  BOOST_TEST(last_placement.spilled);
  placer->End(busy, now);
  placer->End(idle, now);
  Place();
  BOOST_TEST(!last_placement.spilled);
}

// Failure: slots taken by other schedulers look free, or flows of a dead
// scheduler occupy slots forever.
BOOST_AUTO_TEST_CASE(peer_counts_take_slots_until_they_expire) {
  Start();
  const std::vector<PlacementCount> counts{{TargetId{1}, 2}};
  placer->SetPeerCounts(kPeer, counts, now);
  BOOST_TEST(Place(1) == 2U);
  BOOST_TEST(Place(1) == 2U);
  now += seconds(8);
  BOOST_TEST(Place(1) == 1U);
}

// Failure: a peer that knew a new target first leaves counts on it that no
// later message removes.
BOOST_AUTO_TEST_CASE(peer_counts_of_a_target_not_known_yet_are_kept) {
  Start();
  placer->SetPeerCounts(kPeer, std::vector<PlacementCount>{{TargetId{5}, 2}},
                        now);
  preset.slow_start = milliseconds(0);
  service.targets.emplace_back(service.targets[0]).id = TargetId{5};
  placer->Update(service, preset);
  BOOST_TEST(Place(5) != 5U);
  placer->SetPeerCounts(kPeer, {}, now);
  BOOST_TEST(Place(5) == 5U);
}

// Failure: while schedulers are cut off from each other, a target that serves
// requests of the others looks free.
BOOST_AUTO_TEST_CASE(persistent_reports_show_flows_of_lost_schedulers) {
  Start();
  for (int i = 0; i < 3; ++i) {
    BOOST_TEST((i == 0 || Place(1) == 1U));
    if (i > 0) placer->End(TargetId{1}, now);
    now += seconds(1);
    Report(1, 2, 2);
  }
  BOOST_TEST(Place(1) == 2U);
}

// Failure: requests whose end was lost occupy slots forever, or the zero
// reports of a dead target make it look free although its flows make no
// progress.
BOOST_AUTO_TEST_CASE(reports_free_the_slots_of_requests_whose_end_was_lost) {
  Start();
  for (int i = 0; i < 2; ++i) BOOST_TEST(Place(1) == 1U);
  for (int i = 0; i < 3; ++i) {
    BOOST_TEST(Place(1) == 2U);
    placer->End(TargetId{2}, now);
    now += seconds(1);
    Report(1, 0, 0);
  }
  BOOST_TEST(Place(1) == 2U);
  placer->End(TargetId{2}, now);
  placer->OnProgress(TargetId{1}, now);
  placer->OnStall(TargetId{1}, now);
  BOOST_TEST(Place(1) == 2U);
  placer->OnProgress(TargetId{1}, now);
  BOOST_TEST(Place(1) == 1U);
  // Old reports free no slots.
  now += seconds(4);
  BOOST_TEST(Place(1) != 1U);
}

// Failure: a target that is draining, removed or shedding gets new flows, or
// its existing flows are no longer counted.
BOOST_AUTO_TEST_CASE(draining_and_shedding_targets_get_no_new_flows) {
  SchedulerFactory factory;
  const auto factory_placer = factory.Make(service, preset, kOwnDomain);
  const auto place = [&](std::uint32_t target) {
    return factory_placer
        ->Place({.flow_hash = 5, .hash_target = TargetId{target}}, now)
        .target;
  };
  BOOST_TEST((place(1) == TargetId{1}));
  service.targets[0].drained = ConfigVersion{4};
  service.targets.pop_back();
  factory.Update(*factory_placer, service, preset);
  factory_placer->Report({TargetId{2}, 0, 0, true, now}, now);
  BOOST_TEST((place(1) == TargetId{3}));
  BOOST_TEST((place(2) == TargetId{3}));
  BOOST_TEST((place(4) == TargetId{3}));
  BOOST_TEST((place(4) == kNoTarget));
  service.targets.erase(service.targets.begin());
  factory.Update(*factory_placer, service, preset);
  BOOST_TEST(
      (factory_placer->OwnCounts().front() == PlacementCount{TargetId{1}, 1}));
  now += seconds(6);
  BOOST_TEST((place(2) == TargetId{2}));
}

// Failure: a preset for maintenance does not lower the limits.
BOOST_AUTO_TEST_CASE(capacity_share_scales_slots_and_connections) {
  preset.capacity_permille = 500;
  Start();
  PlaceMany(8);
  BOOST_TEST(OpenOn(1) == 2U);
  BOOST_TEST(Place() == 0U);
  UseStreams();
  service.targets.resize(1);
  service.targets[0].max_connections = 10;
  Start();
  PlaceMany(5);
  BOOST_TEST(Place() == 0U);
  BOOST_TEST((last_placement.kind == PlacementKind::kRefused));
  BOOST_TEST((last_placement.reason == ErrorKind::kCapacityExceeded));
}

// Failure: a cold target gets its full share at once.
BOOST_AUTO_TEST_CASE(a_new_target_starts_slowly) {
  UseStreams();
  Start();
  PlaceMany(400);
  service.targets.emplace_back(service.targets[0]).id = TargetId{5};
  placer->Update(service, preset);
  PlaceMany(100);
  // A tenth of the share of the others: 0.1 of 500 / 4.1.
  BOOST_TEST(OpenOn(5) <= 13U);
  now += seconds(15);
  PlaceMany(100);
  BOOST_TEST(OpenOn(5) > 40U);
  BOOST_TEST(OpenOn(5) <= 70U);
  now += seconds(16);
  PlaceMany(200);
  BOOST_TEST(OpenOn(5) > 150U);
  BOOST_TEST((placer->StateOf(TargetId{5}) == TargetState::kActive));
}

// Failure: streams placed by hash, which only reports show, are not balanced.
BOOST_AUTO_TEST_CASE(streams_balance_flows_that_only_reports_show) {
  UseStreams();
  Start();
  Report(1, 0, 100);
  Report(2, 0, 60);
  Report(3, 0, 80);
  Report(4, 0, 80);
  PlaceMany(80);
  BOOST_TEST(OpenOn(1) <= 2U);
  BOOST_TEST(OpenOn(2) >= 38U);
}

// Failure: a dead target reports no load and attracts all new streams.
BOOST_AUTO_TEST_CASE(reports_that_contradict_the_counts_lose_weight) {
  UseStreams();
  Start();
  PlaceMany(40);
  for (int i = 0; i < 6; ++i) {
    now += seconds(1);
    Report(1, 0, 0);
    for (const std::uint32_t other : {2U, 3U, 4U}) Report(other, 0, 60);
  }
  PlaceMany(40);
  BOOST_TEST(OpenOn(1) < 25U);
}

// Failure: a target that does not answer keeps getting flows, one that has
// recovered gets none, or all targets are excluded at once.
BOOST_AUTO_TEST_CASE(stalled_flows_fail_a_target_temporarily) {
  Start();
  const auto stall = [this](std::uint32_t target, int count) {
    for (int i = 0; i < count; ++i) placer->OnStall(TargetId{target}, now);
  };
  stall(1, 2);
  placer->OnProgress(TargetId{1}, now);
  stall(1, 2);
  BOOST_TEST(Place(1) == 1U);
  stall(1, 1);
  BOOST_TEST((placer->StateOf(TargetId{1}) == TargetState::kFailed));
  BOOST_TEST(Place(1) == 2U);
  for (const std::uint32_t other : {2U, 3U, 4U}) stall(other, 3);
  BOOST_TEST(Place(1) != 0U);
  now += seconds(11);
  Place();
  BOOST_TEST((placer->StateOf(TargetId{1}) == TargetState::kWarming));
  stall(1, 1);
  BOOST_TEST((placer->StateOf(TargetId{1}) == TargetState::kFailed));
}

// Failure: a placement allocates memory on the packet path.
BOOST_AUTO_TEST_CASE(placement_does_not_allocate) {
  UseStreams();
  Start();
  Place();
  const std::size_t before = testing::AllocationCount();
  PlaceMany(1000);
  BOOST_TEST(testing::AllocationCount() == before);
}

// Failure: a service without targets is reported as a lack of capacity.
BOOST_AUTO_TEST_CASE(without_targets_flows_are_refused) {
  service.targets.clear();
  Start();
  BOOST_TEST(Place() == 0U);
  BOOST_TEST((last_placement.kind == PlacementKind::kRefused));
  BOOST_TEST((last_placement.reason == ErrorKind::kNoTargetAvailable));
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace sapphirestream
