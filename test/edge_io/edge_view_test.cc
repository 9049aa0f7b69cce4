// Guards against an instance that serves with an incomplete target list.
#include "sapphirestream/edge_io/edge_view.h"

#include <boost/test/unit_test.hpp>

#include "test/edge_io/edge_view_fixture.h"

namespace sapphirestream {
namespace {

using namespace std::chrono_literals;

BOOST_FIXTURE_TEST_SUITE(edge_view, EdgeViewFixture)

// Regression: an outage of some milliseconds sent flows to evacuated targets.
BOOST_AUTO_TEST_CASE(evacuations_are_unconfirmed_after_a_long_outage_only) {
  auto& evacuations = view.evacuation_observer();
  evacuations.OnStoreUnavailable(ErrorKind::kStoreUnavailable);
  clock.Advance(EdgeView::kMinUnconfirmedTime - 1ms);
  BOOST_TEST(!view.AreEvacuationsUnconfirmed());
  clock.Advance(1ms);
  BOOST_TEST(view.AreEvacuationsUnconfirmed());
  evacuations.OnStoreRecovered(1s);
  BOOST_TEST(!view.AreEvacuationsUnconfirmed());
}

BOOST_AUTO_TEST_CASE(both_collections_are_needed) {
  BOOST_TEST(!view.is_complete());
  observer().OnSnapshot({Item(1, 1)}, At(1));
  BOOST_TEST(!view.is_complete());
  ReadRoutes(1);
  BOOST_TEST(view.is_complete());
  BOOST_TEST(!view.is_recovering());
  observer().OnSynced();
  BOOST_TEST(reads == 1);
}

// Regression: a log line for each of 2,800 targets filled the output buffer,
// and the `serving` line was dropped.
BOOST_AUTO_TEST_CASE(the_first_list_is_logged_in_one_line) {
  struct Counting : LogSink {
    void Write(LogLevel level, const std::string& line) override {
      if (level < LogLevel::kInfo) return;
      lines.push_back(line);
    }
    std::vector<std::string> lines;
  } sink;
  EventLog info(sink, clock, 1000);
  EdgeView fresh(
      routes, targets, flow_log, info, clock, counters, KeyOfDigit,
      {.on_read = [] {}, .on_store_recovered = [] {}, .on_store_restored = {}});
  fresh.target_observer().OnSnapshot({Item(1, 1), Item(2, 1)}, At(7));
  BOOST_REQUIRE(sink.lines.size() == 1U);
  BOOST_TEST(sink.lines[0].find("event=targets_loaded targets=2 revision=7") !=
             std::string::npos);
  fresh.target_observer().OnChanges({Item(3, 8)});
  BOOST_TEST(sink.lines.size() == 2U);
}

// After a pause, new flows went to targets that had left and used routes that
// had been withdrawn until the next call to the store.
BOOST_AUTO_TEST_CASE(after_a_pause_both_collections_must_be_read_again) {
  observer().OnSnapshot({Item(1, 1)}, At(1));
  ReadRoutes(1);
  BOOST_TEST(!view.is_outdated());
  const TimePoint before = clock.Now();
  view.SetCompleteUntil(before, before);
  clock.Advance(100ms);
  view.Invalidate();
  BOOST_TEST(view.is_outdated());
  // A cached reply that was older than the pause does not count.
  view.SetCompleteUntil(before, before);
  BOOST_TEST(view.is_outdated());
  view.SetCompleteUntil(clock.Now(), before);
  BOOST_TEST(view.is_outdated());
  view.SetCompleteUntil(clock.Now(), clock.Now());
  BOOST_TEST(!view.is_outdated());
}

// An instance that is cut off from the store goes on serving.
BOOST_AUTO_TEST_CASE(an_outdated_view_is_used_if_the_store_does_not_answer) {
  view.Invalidate();
  clock.Advance(EdgeView::kMaxOutdatedTime);
  BOOST_TEST(!view.is_outdated());
}

BOOST_AUTO_TEST_CASE(a_recovered_store_is_reported) {
  observer().OnStoreUnavailable(ErrorKind::kTimedOut);
  BOOST_TEST(recoveries == 0);
  observer().OnStoreRecovered(3s);
  BOOST_TEST(recoveries == 1);
}

BOOST_AUTO_TEST_CASE(the_view_is_recovering_after_an_outage) {
  observer().OnStoreUnavailable(ErrorKind::kTimedOut);
  observer().OnStoreRecovered(3s);
  observer().OnSnapshot({}, At(1));
  ReadRoutes(1);
  BOOST_TEST(view.is_recovering());
  clock.Advance(TargetDirectory::kReregistrationGrace);
  BOOST_TEST(!view.is_recovering());
}

BOOST_AUTO_TEST_CASE(a_target_missing_after_an_outage_is_kept_for_a_while) {
  observer().OnSnapshot({Item(1, 1), Item(2, 1)}, At(1));
  observer().OnStoreUnavailable(ErrorKind::kTimedOut);
  observer().OnStoreRecovered(3s);
  observer().OnSnapshot({Item(2, 1)}, At(5));
  BOOST_TEST((PresenceOf(1) == TargetPresence::kMissing));
  observer().OnChanges({Item(1, 6)});
  BOOST_TEST((PresenceOf(1) == TargetPresence::kListed));
}

// One connection to the store was reset, and a target whose entry was removed
// half a second later got new flows for 4 s.
BOOST_AUTO_TEST_CASE(a_target_removed_after_a_short_outage_is_gone) {
  observer().OnSnapshot({Item(1, 1), Item(2, 1)}, At(1));
  view.route_observer().OnStoreUnavailable(ErrorKind::kStoreUnavailable);
  view.route_observer().OnStoreRecovered(150ms);
  BOOST_TEST(!view.is_recovering());
  clock.Advance(500ms);
  observer().OnChanges({{"1", At(5), true, std::nullopt}});
  BOOST_TEST((PresenceOf(1) == TargetPresence::kGone));
}

BOOST_AUTO_TEST_CASE(an_entry_expires_if_a_heartbeat_may_have_been_lost) {
  const Duration heartbeat = TargetDirectory::kDefaultEntryLifetime / 3;
  BOOST_TEST(!targets.MayExpireDuring(heartbeat - 1ms));
  BOOST_TEST(targets.MayExpireDuring(heartbeat));
}

BOOST_AUTO_TEST_CASE(a_target_missing_from_an_available_store_is_gone) {
  observer().OnSnapshot({Item(1, 1), Item(2, 1)}, At(1));
  observer().OnSnapshot({Item(2, 1)}, At(5));
  BOOST_TEST((PresenceOf(1) == TargetPresence::kGone));
}

// Regression: a watch that was pending throughout an outage did not fail, and
// then reported the expired entries as removed; all flows were refused.
BOOST_AUTO_TEST_CASE(targets_removed_together_have_expired) {
  observer().OnSnapshot({Item(1, 1), Item(2, 1), Item(3, 1), Item(4, 1)},
                        At(1));
  observer().OnChanges({{"1", At(5), true, std::nullopt},
                        {"2", At(5), true, std::nullopt},
                        {"3", At(5), true, std::nullopt}});
  BOOST_TEST((PresenceOf(1) == TargetPresence::kMissing));
  BOOST_TEST((PresenceOf(3) == TargetPresence::kMissing));
}

BOOST_AUTO_TEST_CASE(a_few_removed_targets_are_gone) {
  observer().OnSnapshot({Item(1, 1), Item(2, 1), Item(3, 1), Item(4, 1)},
                        At(1));
  observer().OnChanges({{"1", At(5), true, std::nullopt}});
  observer().OnSnapshot({Item(3, 1), Item(4, 1)}, At(6));
  BOOST_TEST((PresenceOf(1) == TargetPresence::kGone));
  BOOST_TEST((PresenceOf(2) == TargetPresence::kGone));
}

// An entry damaged by another writer does not describe a usable target.
BOOST_AUTO_TEST_CASE(an_unreadable_entry_removes_its_target) {
  observer().OnSnapshot({Item(1, 1)}, At(1));
  observer().OnChanges({{"1", At(2), false, std::nullopt}});
  BOOST_TEST((PresenceOf(1) == TargetPresence::kGone));
}

// Each list contains the entry again.
BOOST_AUTO_TEST_CASE(a_malformed_entry_is_reported_once_for_each_change) {
  const CollectionItem<TargetRecord> odd{"i-9", At(2), false, std::nullopt};
  const Counter& malformed = counters.Emplace("target_entries_malformed_total");
  for (int i = 0; i < 5; ++i) {
    observer().OnSnapshot({Item(1, 1), odd}, At(2));
  }
  BOOST_TEST(malformed.value() == 1U);
  const auto is_report = [](const std::string& line) {
    return line == "event=target_entry_malformed entry=i-9 revision=2 era=1";
  };
  BOOST_TEST(std::count_if(lines.begin(), lines.end(), is_report) == 1);
  observer().OnChanges({{"i-9", At(3), false, std::nullopt}});
  BOOST_TEST(malformed.value() == 2U);
  BOOST_TEST(lines.back().find("revision=3") != std::string::npos);
}

// Each list contains the object again; it is no fault of the reply.
BOOST_AUTO_TEST_CASE(an_unusable_configuration_is_reported_once) {
  ReadRoutes(1);
  const Counter& unusable = counters.Emplace("configs_unusable_total");
  for (int i = 0; i < 5; ++i) {
    view.route_observer().OnChanges({{"backup", At(2), false, std::nullopt}});
  }
  BOOST_TEST(unusable.value() == 1U);
  BOOST_TEST(lines.back() ==
             "event=config_unusable entry=backup revision=2 era=1");
  BOOST_TEST(counters.Emplace("store_replies_unusable_total").value() == 0U);
  BOOST_TEST(routes.version() == 1U);
}

// The entry of a target that has crashed was used beside the one of its
// successor if both were read before the configuration.
BOOST_AUTO_TEST_CASE(a_configuration_applies_entries_that_were_read_before) {
  CollectionItem<TargetRecord> next = Item(2, 2);
  next.record->address = Item(1, 1).record->address;
  observer().OnSnapshot({Item(1, 1), next}, At(2));
  BOOST_TEST((PresenceOf(1) == TargetPresence::kListed));
  ReadRoutes(1);
  BOOST_TEST((PresenceOf(1) == TargetPresence::kGone));
  BOOST_TEST((PresenceOf(2) == TargetPresence::kListed));
}

// A reply that cannot be used says nothing about the store's availability.
BOOST_AUTO_TEST_CASE(an_unusable_reply_is_not_an_outage) {
  observer().OnReplyUnusable(ErrorKind::kMalformedJson);
  BOOST_TEST(lines.back() ==
             "event=store_reply_unusable collection=targets "
             "error=malformed_json");
  BOOST_TEST(!view.is_recovering());
}

// On-call engineers rely on these log lines.
BOOST_AUTO_TEST_CASE(changes_of_the_view_are_logged) {
  ReadRoutes(2);
  BOOST_TEST(
      lines.back() ==
      "event=config_applied version=2 before=0 routes=3 ignored=0 revision=2 "
      "era=1");
  observer().OnSnapshot({Item(1, 1)}, At(1));
  BOOST_TEST(lines.back() == "event=targets_loaded targets=1 revision=1 era=1");
  observer().OnChanges({Item(2, 2)});
  BOOST_TEST(lines.back().find(
                 "event=target_listed target=0000000002 service=desk") == 0U);
  observer().OnStoreUnavailable(ErrorKind::kTimedOut);
  BOOST_TEST(lines.back() ==
             "event=store_lost collection=targets error=timed_out");
  clock.Advance(2s);
  observer().OnStoreRecovered(2s);
  BOOST_TEST(lines.back() ==
             "event=store_regained collection=targets away_ms=2000");
}

// A target that registered in the lost part of the history writes its entry
// again within about 2 s.
BOOST_AUTO_TEST_CASE(
    a_target_missing_from_a_restored_store_is_kept_for_a_while) {
  observer().OnSnapshot({Item(1, 1), Item(2, 9)}, At(9));
  CollectionItem<TargetRecord> kept = Item(1, 1);
  kept.revision.era = StoreEra{2};
  observer().OnSnapshot({kept}, {StoreEra{2}, 4});
  BOOST_TEST((PresenceOf(2) == TargetPresence::kMissing));
}

BOOST_AUTO_TEST_CASE(a_missing_target_is_kept_when_the_store_is_restored) {
  observer().OnSnapshot({Item(1, 1), Item(2, 1)}, At(1));
  observer().OnStoreRecovered(3s);
  observer().OnSnapshot({Item(1, 1)}, At(5));
  clock.Advance(TargetDirectory::kReregistrationGrace);
  CollectionItem<TargetRecord> kept = Item(1, 1);
  kept.revision.era = StoreEra{2};
  observer().OnSnapshot({kept}, {StoreEra{2}, 4});
  targets.Expire(clock.Now(), clock.Now());
  BOOST_TEST((PresenceOf(2) == TargetPresence::kMissing));
}

BOOST_AUTO_TEST_CASE(an_ignored_entry_is_logged_with_both_revisions) {
  CollectionItem<TargetRecord> draining = Item(1, 4);
  draining.record->draining = true;
  observer().OnSnapshot({Item(1, 9)}, At(9));
  observer().OnChanges({draining});
  BOOST_TEST(lines.back() ==
             "event=target_entry_ignored target=0000000001 reason=outdated "
             "presence=listed draining=0 revision=9 era=1 offered=draining "
             "offered_revision=4 offered_era=1");
  lines.clear();
  observer().OnChanges({Item(1, 4)});
  BOOST_TEST(lines.empty());
}

BOOST_AUTO_TEST_CASE(an_ignored_copy_is_logged_with_both_revisions) {
  CollectionItem<TargetRecord> draining = Item(1, 9);
  draining.record->draining = true;
  CollectionItem<TargetRecord> copy = Item(1, 4);
  copy.revision.era = StoreEra{2};
  observer().OnSnapshot({draining}, At(9));
  observer().OnSnapshot({copy}, {StoreEra{2}, 4});
  BOOST_TEST(lines.back() ==
             "event=target_entry_ignored target=0000000001 reason=old_copy "
             "presence=listed draining=1 revision=9 era=1 offered=ready "
             "offered_revision=4 offered_era=2");
}

BOOST_AUTO_TEST_CASE(an_ignored_configuration_is_logged_with_both_versions) {
  ReadRoutes(7);
  lines.clear();
  ReadRoutes(5);
  BOOST_TEST(lines.back() ==
             "event=config_outdated version=7 offered=5 revision=5 era=1");
}

BOOST_AUTO_TEST_CASE(a_change_of_the_era_is_logged_with_both_revisions) {
  observer().OnEraChanged(At(107), {StoreEra{2}, 46});
  BOOST_TEST(lines.back() ==
             "event=store_era_changed collection=targets held_era=1 "
             "held_revision=107 era=2 revision=46");
  BOOST_TEST((restored == StoreEra{2}));
}

BOOST_AUTO_TEST_CASE(an_ignored_reply_is_logged_with_both_revisions) {
  observer().OnOutdatedReply({StoreEra{2}, 46}, At(107));
  BOOST_TEST(lines.back() ==
             "event=store_reply_outdated collection=targets held_era=2 "
             "held_revision=46 era=1 revision=107");
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace sapphirestream
