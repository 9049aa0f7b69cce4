// Guards against work for targets that are leaving, full, cold or lost while
// others could take it, and against costly traffic between failure domains.
#include "sapphirestream/edge/edge_placement.h"

#include <boost/test/unit_test.hpp>

#include "test/edge/sample.h"

namespace sapphirestream {
namespace {

using namespace std::chrono_literals;

struct Fixture {
  Fixture() {
    routes.Apply(sample::Routes(1));
    for (std::uint64_t key : {1, 2}) Add(sample::Target(key, "a"));
    for (std::uint64_t key : {3, 4}) Add(sample::Target(key, "b"));
  }
  void Add(const TargetRecord& record) {
    targets.Upsert(record, ++revision, /*settled=*/true, now);
  }
  EdgeTarget& At(std::uint64_t key) { return *targets.Find(TargetKey{key}); }
  EdgePlacement Place(std::uint64_t hash,
                      RequestKind kind = RequestKind::kIdempotent) {
    return PlaceFlow(targets.OfService(routes.Number("desk")),
                     {.kind = kind, .flow_hash = hash, .now = now});
  }

  TimePoint now{1000s};
  std::uint64_t revision = 0;
  RouteTable routes;
  TargetDirectory targets{routes, "a"};
};

BOOST_FIXTURE_TEST_SUITE(edge_placement, Fixture)

BOOST_AUTO_TEST_CASE(the_own_domain_takes_flows_while_it_has_a_slot) {
  for (std::uint64_t hash = 0; hash < 100; ++hash) {
    const EdgePlacement placement = Place(hash);
    BOOST_REQUIRE(placement.target != nullptr);
    BOOST_TEST(placement.target->is_local);
  }
}

// Copies of an opening packet that reach other instances meet the same target.
BOOST_AUTO_TEST_CASE(equal_views_place_a_flow_alike) {
  const EdgeTarget* const first = Place(42).target;
  At(Value(first->record.key)).outstanding = 1;
  BOOST_TEST(Place(42).target == first);
}

BOOST_AUTO_TEST_CASE(a_full_domain_sends_flows_to_free_slots_elsewhere) {
  At(1).outstanding = At(2).outstanding = 2;
  BOOST_TEST((Place(1).tier == PlacementTier::kRemoteSlot));
  At(3).outstanding = At(4).outstanding = 2;
  const EdgePlacement placement = Place(1);
  BOOST_TEST((placement.tier == PlacementTier::kLocalQueue));
}

// Bytes between domains cost more than a short queue.
BOOST_AUTO_TEST_CASE(an_upload_waits_in_its_domain) {
  At(1).outstanding = At(2).outstanding = 3;
  BOOST_TEST(
      (Place(1, RequestKind::kUpload).tier == PlacementTier::kLocalSlot));
}

BOOST_AUTO_TEST_CASE(the_shortest_queue_takes_a_flow_when_all_are_full) {
  for (std::uint64_t key : {1, 2, 3, 4}) At(key).outstanding = 8;
  At(2).outstanding = 4;
  for (std::uint64_t hash = 0; hash < 20; ++hash) {
    BOOST_TEST((Place(hash).target->record.key == TargetKey{2}));
  }
}

BOOST_AUTO_TEST_CASE(leaving_and_lost_targets_get_no_new_flows) {
  TargetRecord draining = sample::Target(1, "a");
  draining.draining = true;
  Add(draining);
  targets.Erase(TargetKey{2}, ++revision, false, now);
  EdgeTarget& lost = At(3);
  (void)lost.health.OnSilence(now, true, now + 1s);
  lost.health.OnProbe(ProbeOutcome::kRefused, now, now + 1s);
  for (std::uint64_t hash = 0; hash < 20; ++hash) {
    BOOST_TEST((Place(hash).target->record.key == TargetKey{4}));
  }
  targets.Erase(TargetKey{4}, ++revision, false, now);
  BOOST_TEST(Place(1).target == nullptr);
}

// Other instances have not read a new entry yet.
BOOST_AUTO_TEST_CASE(a_target_just_found_waits_unless_it_is_the_only_one) {
  targets.Upsert(sample::Target(5, "a"), ++revision, /*settled=*/false, now);
  for (std::uint64_t hash = 0; hash < 50; ++hash) {
    BOOST_TEST((Place(hash).target->record.key != TargetKey{5}));
  }
  for (std::uint64_t key : {1, 2, 3, 4}) {
    targets.Erase(TargetKey{key}, ++revision, false, now);
  }
  BOOST_TEST((Place(1).target->record.key == TargetKey{5}));
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace sapphirestream
