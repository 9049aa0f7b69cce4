// Guards against placing flows on targets that are draining, full, cold or
// unreachable while others are available, and against unnecessary traffic
// between failure domains.
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
    targets.Upsert(record, {StoreEra{1}, ++revision}, /*propagated=*/true, now);
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

BOOST_AUTO_TEST_CASE(local_targets_are_preferred_while_they_have_free_slots) {
  for (std::uint64_t hash = 0; hash < 100; ++hash) {
    const EdgePlacement placement = Place(hash);
    BOOST_REQUIRE(placement.target != nullptr);
    BOOST_TEST(placement.target->is_local);
  }
}

// Retransmissions of an opening packet that reach other instances must get the
// same target.
BOOST_AUTO_TEST_CASE(equal_views_select_the_same_target) {
  const EdgeTarget* const first = Place(42).target;
  At(Value(first->record.key)).outstanding = 1;
  BOOST_TEST(Place(42).target == first);
}

BOOST_AUTO_TEST_CASE(a_full_domain_uses_free_slots_of_other_domains) {
  At(1).outstanding = At(2).outstanding = 2;
  BOOST_TEST((Place(1).tier == PlacementTier::kRemoteSlot));
  At(3).outstanding = At(4).outstanding = 2;
  const EdgePlacement placement = Place(1);
  BOOST_TEST((placement.tier == PlacementTier::kLocalQueue));
}

// Traffic between failure domains costs more than a short queue.
BOOST_AUTO_TEST_CASE(an_upload_queues_in_its_own_domain) {
  At(1).outstanding = At(2).outstanding = 3;
  BOOST_TEST(
      (Place(1, RequestKind::kUpload).tier == PlacementTier::kLocalSlot));
}

BOOST_AUTO_TEST_CASE(the_shortest_queue_is_selected_when_all_slots_are_taken) {
  for (std::uint64_t key : {1, 2, 3, 4}) At(key).outstanding = 8;
  At(2).outstanding = 4;
  for (std::uint64_t hash = 0; hash < 20; ++hash) {
    BOOST_TEST((Place(hash).target->record.key == TargetKey{2}));
  }
}

BOOST_AUTO_TEST_CASE(draining_and_unreachable_targets_get_no_new_flows) {
  TargetRecord draining = sample::Target(1, "a");
  draining.draining = true;
  Add(draining);
  targets.Erase(TargetKey{2}, {StoreEra{1}, ++revision}, std::nullopt, now);
  EdgeTarget& unreachable = At(3);
  (void)unreachable.health.OnUnanswered(now, true, now + 1s);
  unreachable.health.OnProbe(ProbeOutcome::kRefused, now, now + 1s);
  for (std::uint64_t hash = 0; hash < 20; ++hash) {
    BOOST_TEST((Place(hash).target->record.key == TargetKey{4}));
  }
  targets.Erase(TargetKey{4}, {StoreEra{1}, ++revision}, std::nullopt, now);
  BOOST_TEST(Place(1).target == nullptr);
}

// Other instances may not have read a new entry yet.
BOOST_AUTO_TEST_CASE(a_new_target_is_used_only_if_there_is_no_other) {
  targets.Upsert(sample::Target(5, "a"), {StoreEra{1}, ++revision},
                 /*propagated=*/false, now);
  for (std::uint64_t hash = 0; hash < 50; ++hash) {
    BOOST_TEST((Place(hash).target->record.key != TargetKey{5}));
  }
  for (std::uint64_t key : {1, 2, 3, 4}) {
    targets.Erase(TargetKey{key}, {StoreEra{1}, ++revision}, std::nullopt, now);
  }
  BOOST_TEST((Place(1).target->record.key == TargetKey{5}));
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace sapphirestream
