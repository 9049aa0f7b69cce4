// Guards against new flows at the targets of an evacuated failure domain, and
// against an evacuation that ends because the store lost its entry.
#include "sapphirestream/edge/evacuations.h"

#include <boost/test/unit_test.hpp>

#include "sapphirestream/edge/target_directory.h"
#include "test/edge/sample.h"

namespace sapphirestream {
namespace {

using namespace std::chrono_literals;

StoreRevision At(std::uint64_t number) { return {StoreEra{1}, number}; }

struct Fixture {
  Fixture() {
    RouteConfig config = sample::Routes(1);
    config.services[0].cold_start = 2s;
    routes.Apply(config);
    targets.Upsert(sample::Target(1, "a"), {StoreEra{1}, 1}, true, now);
    targets.Upsert(sample::Target(2, "b"), {StoreEra{1}, 2}, true, now);
  }
  bool IsEvacuated(std::uint64_t key) {
    return targets.Find(TargetKey{key})->evacuated;
  }

  TimePoint now = TimePoint{} + 100s;
  RouteTable routes;
  TargetDirectory targets{routes, "a"};
  Evacuations evacuations{targets};
};

BOOST_FIXTURE_TEST_SUITE(evacuations, Fixture)

BOOST_AUTO_TEST_CASE(all_targets_of_the_domain_are_evacuated) {
  BOOST_TEST(evacuations.Set("a", true, At(5), now).size() == 1U);
  BOOST_TEST(IsEvacuated(1));
  BOOST_TEST(!IsEvacuated(2));
  BOOST_TEST(evacuations.Set("a", true, At(5), now).empty());
  // A target that registers later belongs to the domain as well.
  targets.Upsert(sample::Target(3, "a"), {StoreEra{1}, 3}, true, now);
  BOOST_TEST(IsEvacuated(3));
}

// The targets' entries may not yet show that they have become cold.
BOOST_AUTO_TEST_CASE(the_targets_are_cold_when_an_evacuation_ends) {
  evacuations.Set("a", true, At(5), now);
  now += 10s;
  BOOST_TEST(evacuations.Set("a", false, At(8), now).size() == 1U);
  BOOST_TEST(!IsEvacuated(1));
  BOOST_TEST((targets.Find(TargetKey{1})->cold_until == now + 2s));
  BOOST_TEST((targets.Find(TargetKey{2})->cold_until <= now));
}

// Regression: an entry written before the evacuation ended, but read after it,
// made the target warm at once.
BOOST_AUTO_TEST_CASE(an_older_entry_does_not_make_a_target_warm) {
  evacuations.Set("a", true, At(5), now);
  evacuations.Set("a", false, At(8), now);
  targets.Upsert(sample::Target(1, "a"), {StoreEra{1}, 9}, true, now);
  BOOST_TEST((targets.Find(TargetKey{1})->cold_until == now + 2s));
  TargetRecord restarted = sample::Target(1, "a");
  restarted.incarnation = Incarnation{Value(restarted.incarnation) + 1};
  targets.Upsert(restarted, {StoreEra{1}, 10}, true, now);
  BOOST_TEST((targets.Find(TargetKey{1})->cold_until == now));
}

// Regression: the targets were cold for 3 s more although the evacuation had
// ended before the list was read, and flows were refused.
BOOST_AUTO_TEST_CASE(targets_are_warm_if_a_missing_entry_expires) {
  evacuations.Set("a", true, At(5), now);
  evacuations.Replace({}, {StoreEra{2}, 3}, now);
  evacuations.Expire(now + 3s);
  BOOST_TEST(!IsEvacuated(1));
  BOOST_TEST((targets.Find(TargetKey{1})->cold_until == now + 2s));
}

// Each restoration gives operators the time to write their entries again.
BOOST_AUTO_TEST_CASE(a_second_restoration_starts_the_time_anew) {
  evacuations.Set("a", true, At(5), now);
  evacuations.Replace({}, {StoreEra{2}, 3}, now);
  evacuations.Replace({}, {StoreEra{3}, 3}, now + 2s);
  evacuations.Expire(now + 3s);
  BOOST_TEST(IsEvacuated(1));
}

BOOST_AUTO_TEST_CASE(a_list_replaces_what_is_known) {
  evacuations.Set("a", true, At(5), now);
  const auto changes = evacuations.Replace({{"b", At(6)}}, At(7), now);
  BOOST_TEST(changes.size() == 2U);
  BOOST_TEST(!IsEvacuated(1));
  BOOST_TEST(IsEvacuated(2));
}

BOOST_AUTO_TEST_CASE(an_entry_that_a_restored_store_lost_stays_in_force) {
  evacuations.Set("a", true, At(5), now);
  evacuations.Replace({}, {StoreEra{2}, 3}, now);
  BOOST_TEST(IsEvacuated(1));
  // Neither a further list nor an old view ends it before the entry can have
  // been written again.
  evacuations.Replace({}, {StoreEra{2}, 4}, now + 1s);
  evacuations.Expire(now + 1s);
  BOOST_TEST(IsEvacuated(1));
  evacuations.Expire(now + Evacuations::kRewriteTime);
  BOOST_TEST(!IsEvacuated(1));
}

// The read that ends an evacuation came with the next usual check, seconds
// after the entry could have been written again.
BOOST_AUTO_TEST_CASE(a_read_is_due_when_it_decides) {
  evacuations.Set("a", true, At(5), now);
  evacuations.Replace({}, {StoreEra{2}, 3}, now);
  const TimePoint due = now + Evacuations::kRewriteTime;
  BOOST_TEST(!evacuations.IsReadDue(due - 1ms));
  BOOST_TEST(evacuations.IsReadDue(due));
  evacuations.Expire(due);
  BOOST_TEST(!evacuations.IsReadDue(due));
}

BOOST_AUTO_TEST_CASE(an_entry_that_is_written_again_does_not_expire) {
  evacuations.Set("a", true, At(5), now);
  evacuations.Replace({}, {StoreEra{2}, 3}, now);
  evacuations.Set("a", true, {StoreEra{2}, 4}, now + 1s);
  evacuations.Expire(now + 20s);
  BOOST_TEST(IsEvacuated(1));
}

BOOST_AUTO_TEST_CASE(a_removal_ends_it_at_once_after_a_restoration) {
  evacuations.Set("a", true, At(5), now);
  evacuations.Replace({}, {StoreEra{2}, 3}, now);
  BOOST_TEST(evacuations.Set("a", false, {StoreEra{2}, 5}, now).size() == 1U);
  BOOST_TEST(!IsEvacuated(1));
}

// A list may be read from a cache after a watch has brought a later change.
BOOST_AUTO_TEST_CASE(an_older_list_changes_nothing) {
  evacuations.Set("a", true, At(5), now);
  evacuations.Set("b", true, At(5), now);
  evacuations.Set("b", false, At(6), now);
  BOOST_TEST(evacuations.Replace({{"b", At(5)}}, At(4), now).empty());
  BOOST_TEST(IsEvacuated(1));
  BOOST_TEST(!IsEvacuated(2));
  evacuations.Replace({}, At(7), now);
  BOOST_TEST(!IsEvacuated(1));
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace sapphirestream
