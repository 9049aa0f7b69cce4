// Guards against entries whose names have the key of a living target, such as
// "i-1f" and "i-01F", and replace or remove it.
#include <boost/test/unit_test.hpp>

#include "test/edge_io/edge_view_fixture.h"

namespace sapphirestream {
namespace {

using namespace std::chrono_literals;

// An entry of another writer with the key of target 1.
CollectionItem<TargetRecord> Foreign(std::uint64_t revision) {
  CollectionItem<TargetRecord> item = Item(1, revision);
  item.name = "1x";
  item.record->incarnation = Incarnation{9000};
  item.record->address = sample::Target(99, "a").address;
  return item;
}

CollectionItem<TargetRecord> WithoutRecord(const std::string& name,
                                           std::uint64_t revision,
                                           bool deleted) {
  return {name, At(revision), deleted, std::nullopt};
}

struct Fixture : EdgeViewFixture {
  Fixture() { ReadRoutes(1); }
  [[nodiscard]] V4Endpoint AddressOf(std::uint64_t key) {
    return targets.Find(TargetKey{key})->record.address;
  }
  void MakeUnreachable(std::uint64_t key) {
    EdgeTarget& target = *targets.Find(TargetKey{key});
    target.health.OnProbe(ProbeOutcome::kRefused, clock.Now(), clock.Now());
    view.OnTargetProbed(TargetKey{key}, {});
  }

  V4Endpoint own = sample::Target(1, "a").address;
  V4Endpoint foreign = Foreign(1).record->address;
};

BOOST_FIXTURE_TEST_SUITE(edge_view_targets, Fixture)

BOOST_AUTO_TEST_CASE(a_malformed_entry_of_the_same_key_removes_no_target) {
  observer().OnSnapshot({Item(1, 1)}, At(1));
  observer().OnChanges({WithoutRecord("1x", 2, /*deleted=*/false)});
  BOOST_TEST((PresenceOf(1) == TargetPresence::kListed));
  observer().OnSnapshot({Item(1, 1), WithoutRecord("1x", 2, false)}, At(3));
  BOOST_TEST((PresenceOf(1) == TargetPresence::kListed));
}

BOOST_AUTO_TEST_CASE(an_entry_of_the_same_key_does_not_replace_the_target) {
  observer().OnSnapshot({Item(1, 1)}, At(1));
  observer().OnChanges({Foreign(2)});
  BOOST_TEST((AddressOf(1) == own));
  observer().OnChanges({WithoutRecord("1x", 3, /*deleted=*/true)});
  BOOST_TEST((PresenceOf(1) == TargetPresence::kListed));
  BOOST_TEST((AddressOf(1) == own));
  // The target's own entry still counts.
  observer().OnChanges({WithoutRecord("1", 4, /*deleted=*/true)});
  BOOST_TEST((PresenceOf(1) == TargetPresence::kGone));
}

BOOST_AUTO_TEST_CASE(a_spare_entry_is_used_when_the_other_one_is_removed) {
  observer().OnSnapshot({Item(1, 1)}, At(1));
  observer().OnChanges({Foreign(2)});
  observer().OnChanges({WithoutRecord("1", 3, /*deleted=*/true)});
  view.UseSpareEntries();
  BOOST_TEST((PresenceOf(1) == TargetPresence::kListed));
  BOOST_TEST((AddressOf(1) == foreign));
}

// The entry of another writer stayed when those of the targets expired in an
// outage, and open flows were reset by probes of its address.
BOOST_AUTO_TEST_CASE(a_spare_entry_is_not_used_while_the_other_may_return) {
  observer().OnSnapshot({Item(1, 1)}, At(1));
  observer().OnChanges({Foreign(2)});
  observer().OnStoreUnavailable(ErrorKind::kTimedOut);
  observer().OnStoreRecovered(3s);
  observer().OnChanges({WithoutRecord("1", 3, /*deleted=*/true)});
  view.UseSpareEntries();
  BOOST_TEST((PresenceOf(1) == TargetPresence::kMissing));
  BOOST_TEST((AddressOf(1) == own));
}

// Packets of the open flows of a target that lost its entry went to the address
// of an entry that another writer wrote after that.
BOOST_AUTO_TEST_CASE(a_spare_entry_does_not_replace_a_target_that_answered) {
  observer().OnSnapshot({Item(1, 1)}, At(1));
  targets.OnAnswer(*targets.Find(TargetKey{1}), clock.Now());
  observer().OnChanges({WithoutRecord("1", 2, /*deleted=*/true)});
  observer().OnChanges({Foreign(3)});
  view.UseSpareEntries();
  BOOST_TEST((PresenceOf(1) == TargetPresence::kGone));
  BOOST_TEST((AddressOf(1) == own));
  // Its own entry counts again.
  observer().OnChanges({Item(1, 4)});
  BOOST_TEST((PresenceOf(1) == TargetPresence::kListed));
}

BOOST_AUTO_TEST_CASE(a_spare_entry_does_not_replace_one_that_was_confirmed) {
  observer().OnSnapshot({Item(1, 1)}, At(1));
  observer().OnChanges({Foreign(2)});
  targets.OnOwnName(*targets.Find(TargetKey{1}));
  observer().OnChanges({WithoutRecord("1", 3, /*deleted=*/true)});
  view.UseSpareEntries();
  BOOST_TEST((PresenceOf(1) == TargetPresence::kGone));
  BOOST_TEST((AddressOf(1) == own));
}

// An instance that starts may read the other entry first.
BOOST_AUTO_TEST_CASE(a_spare_entry_is_used_if_nobody_answers_at_the_address) {
  observer().OnSnapshot({Foreign(1), Item(1, 2)}, At(2));
  BOOST_TEST((AddressOf(1) == foreign));
  MakeUnreachable(1);
  BOOST_TEST((AddressOf(1) == own));
  // The health of the first address says nothing about the second one.
  BOOST_TEST(
      (targets.Find(TargetKey{1})->health.state() == Reachability::kReachable));
  // The first one is kept in turn.
  MakeUnreachable(1);
  BOOST_TEST((AddressOf(1) == foreign));
}

// An entry that says that the target drains would never be tried by a flow.
BOOST_AUTO_TEST_CASE(the_entry_by_whose_name_the_target_answers_is_used) {
  CollectionItem<TargetRecord> draining = Foreign(1);
  draining.record->draining = true;
  observer().OnSnapshot({draining, Item(1, 2)}, At(2));
  BOOST_TEST(targets.Find(TargetKey{1})->record.draining);
  BOOST_TEST(targets.unconfirmed().contains(TargetKey{1}));
  view.OnTargetProbed(TargetKey{1}, "1");
  BOOST_TEST(!targets.Find(TargetKey{1})->record.draining);
  BOOST_TEST((AddressOf(1) == own));
}

BOOST_AUTO_TEST_CASE(a_list_without_the_entry_in_use_replaces_it) {
  observer().OnSnapshot({Item(1, 1)}, At(1));
  observer().OnSnapshot({Foreign(2)}, At(3));
  view.UseSpareEntries();
  BOOST_TEST((PresenceOf(1) == TargetPresence::kListed));
  BOOST_TEST((AddressOf(1) == foreign));
}

// The copy that the store was restored from had only the entry of another
// writer, and open flows of the target were reset by probes of its address.
BOOST_AUTO_TEST_CASE(a_restored_list_without_the_entry_keeps_the_target) {
  observer().OnSnapshot({Item(1, 1)}, At(1));
  CollectionItem<TargetRecord> other = Foreign(1);
  other.revision.era = StoreEra{2};
  observer().OnSnapshot({other}, {StoreEra{2}, 1});
  view.UseSpareEntries();
  BOOST_TEST((PresenceOf(1) == TargetPresence::kMissing));
  BOOST_TEST((AddressOf(1) == own));
}

BOOST_AUTO_TEST_CASE(the_entry_in_use_stays_in_use_through_lists) {
  observer().OnSnapshot({Item(1, 2)}, At(2));
  observer().OnSnapshot({Foreign(1), Item(1, 2)}, At(3));
  BOOST_TEST((AddressOf(1) == own));
  MakeUnreachable(1);
  BOOST_TEST((AddressOf(1) == foreign));
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace sapphirestream
