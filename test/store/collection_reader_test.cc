// Guards against missed changes, excessive store calls, and a reader that does
// not resume after an outage.
#include "sapphirestream/store/collection_reader.h"

#include <boost/test/unit_test.hpp>
#include <string>
#include <vector>

#include "test/store/collection_reader_fixture.h"

namespace sapphirestream {
namespace {

using namespace std::chrono_literals;

BOOST_FIXTURE_TEST_SUITE(collection_reader, CollectionReaderFixture)

// Changes made while the pages are read have revisions after that of the first
// page.
BOOST_AUTO_TEST_CASE(pages_become_one_snapshot_of_the_first_revision) {
  client.replies = {Reply(7, {"a", "b"}, true), Reply(9, {"c"})};
  Start();
  time.RunFor(2s);
  BOOST_TEST(events == Strings{"snapshot@7 a b c"},
             boost::test_tools::per_element());
  BOOST_TEST(client.calls == (Strings{"list ", "list b", "watch 7"}),
             boost::test_tools::per_element());
}

// Guards against restarting the list after a failed page: 300 instances that
// started together did so and served only after 30 s.
BOOST_AUTO_TEST_CASE(a_failed_page_is_requested_again_from_the_cache) {
  client.replies = {Reply(7, {"a", "b"}, true),
                    Failure(ErrorKind::kStoreUnavailable), Reply(9, {"c"}),
                    Reply(9, {})};
  Start();
  time.RunFor(900ms);
  BOOST_REQUIRE(client.calls.size() >= 4U);
  BOOST_TEST(client.calls[2] == "cached list b");
  BOOST_TEST(client.calls[3] == "check 7");
  BOOST_TEST(events.back() == "snapshot@9 a b c");
}

// When 300 instances restart together after a power loss, their list pages
// exceed the rate limit of the store. With current reads alone, the last
// instance served after 30 s.
BOOST_AUTO_TEST_CASE(pages_come_from_the_cache_after_a_rejection) {
  client.replies = {Reply(7, {"a"}, true), Failure(ErrorKind::kRateLimited),
                    Reply(5, {"b"}, true), Reply(6, {"c"}), Reply(9, {"d"})};
  Start();
  time.RunFor(1900ms);
  // Changes since the oldest page are read from the store itself.
  BOOST_TEST(client.calls == (Strings{"list ", "list a", "cached list a",
                                      "cached list b", "check 5", "watch 9"}),
             boost::test_tools::per_element());
  BOOST_TEST(events == (Strings{"refused", "snapshot@9 a b c d"}),
             boost::test_tools::per_element());
}

// After a restart, a cached list may name a target that has left since, or a
// target whose address another service uses now.
BOOST_AUTO_TEST_CASE(a_first_list_from_the_cache_is_unused_until_confirmed) {
  CollectionReply<int> changes = Reply(12, {"c"});
  changes.items.push_back({"a", At(11), true, std::nullopt});
  client.replies = {Failure(ErrorKind::kRateLimited), Reply(7, {"a"}, true),
                    Reply(7, {"b"})};
  Start(CachedOptions());
  time.RunFor(5s);
  BOOST_TEST(events == Strings{"refused"}, boost::test_tools::per_element());
  BOOST_REQUIRE(client.unanswered.size() == 1U);
  client.unanswered[0](changes);
  BOOST_TEST(client.calls ==
                 (Strings{"list ", "cached list ", "cached list a", "check 7"}),
             boost::test_tools::per_element());
  BOOST_TEST(events == (Strings{"refused", "snapshot@12 b c"}),
             boost::test_tools::per_element());
}

BOOST_AUTO_TEST_CASE(a_failed_confirmation_is_repeated) {
  client.replies = {Failure(ErrorKind::kStoreUnavailable), Reply(7, {"a"}),
                    Failure(ErrorKind::kStoreUnavailable),
                    Failure(ErrorKind::kRateLimited), Reply(8, {"b"})};
  Start(CachedOptions());
  time.RunFor(1s);
  BOOST_TEST(client.calls == (Strings{"list ", "cached list ", "check 7",
                                      "check 7", "check 7", "cached 8"}),
             boost::test_tools::per_element());
  BOOST_TEST(events == (Strings{"unavailable store_unavailable", "recovered",
                                "unavailable store_unavailable", "refused",
                                "recovered", "snapshot@8 a b"}),
             boost::test_tools::per_element());
}

// The history since a cached list may be gone, e.g. if the cache is seconds
// behind when the store is compacted.
BOOST_AUTO_TEST_CASE(an_outdated_first_list_is_replaced_by_a_current_one) {
  client.replies = {Failure(ErrorKind::kRateLimited), Reply(7, {"a"}),
                    Failure(ErrorKind::kHistoryLost), Reply(20, {"b"})};
  Start(CachedOptions());
  time.RunFor(200ms);
  BOOST_TEST(client.calls == (Strings{"list ", "cached list ", "check 7",
                                      "list ", "cached 20"}),
             boost::test_tools::per_element());
  BOOST_TEST(events == (Strings{"refused", "cache outdated", "snapshot@20 b"}),
             boost::test_tools::per_element());
}

// At the very first start the cache may not have read anything yet.
BOOST_AUTO_TEST_CASE(an_empty_cache_is_completed_from_the_store) {
  client.replies = {Failure(ErrorKind::kRateLimited), Reply(0, {}),
                    Reply(9, {"a"})};
  Start(CachedOptions());
  time.RunFor(200ms);
  BOOST_TEST(events == (Strings{"refused", "snapshot@9 a"}),
             boost::test_tools::per_element());
  BOOST_TEST(client.calls.back() == "cached 9");
}

// Without a view an instance cannot serve, so it tries more often.
BOOST_AUTO_TEST_CASE(a_store_that_is_down_at_the_start_is_found_within_1_s) {
  FailFor(1000);
  Start(CachedOptions());
  time.RunFor(30s);
  const std::size_t calls = client.calls.size();
  client.replies = {Reply(7, {"a"}), Reply(7, {})};
  time.RunFor(1010ms);
  BOOST_TEST(events.back() == "snapshot@7 a");
  BOOST_TEST(calls > 30U);
  BOOST_TEST(calls < 120U);
}

// With 300 instances, relists by current reads alone exceed the rate limit of
// the store.
BOOST_AUTO_TEST_CASE(relists_use_the_cache_if_watches_do) {
  const CollectionReaderOptions options = CachedOptions();
  const TimePoint start = time.Now();
  client.replies.push_back(Reply(7, {"a"}));
  for (int i = 0; i < 11; ++i) client.replies.push_back(Reply(7, {}));
  client.replies.push_back(Reply(7, {"a"}));
  Start(options);
  time.RunFor(12s);
  BOOST_REQUIRE(client.calls.size() >= 2U);
  BOOST_TEST(*(client.calls.end() - 2) == "cached list ");
  BOOST_TEST(client.calls.back() == "cached 7");
  // A cached list does not make the view any younger.
  BOOST_TEST((reader->CompleteUntil() == start));
}

// Rate limiting is not an outage: nothing expires, and a new list would cost
// more calls.
BOOST_AUTO_TEST_CASE(a_rate_limited_watch_is_repeated) {
  client.replies = {Reply(7, {"a"}), Failure(ErrorKind::kRateLimited)};
  Start();
  time.RunFor(900ms);
  BOOST_TEST(client.calls == (Strings{"list ", "watch 7", "check 7"}),
             boost::test_tools::per_element());
  BOOST_TEST(events == (Strings{"snapshot@7 a", "refused"}),
             boost::test_tools::per_element());
}

BOOST_AUTO_TEST_CASE(watches_have_a_minimum_interval) {
  client.replies = {Reply(7, {"a"}), Reply(8, {"b"}), Reply(9, {})};
  Start();
  time.RunFor(900ms);
  BOOST_TEST(client.calls == (Strings{"list ", "watch 7"}),
             boost::test_tools::per_element());
  time.RunFor(1s);
  BOOST_TEST(client.calls.back() == "watch 8");
}

BOOST_AUTO_TEST_CASE(lost_history_is_read_again_as_a_list) {
  client.replies = {Reply(7, {"a"}), Failure(ErrorKind::kHistoryLost),
                    Reply(20, {"b"})};
  Start();
  time.RunFor(1100ms);
  BOOST_TEST(events == (Strings{"snapshot@7 a", "snapshot@20 b"}),
             boost::test_tools::per_element());
}

// While the store was being compacted, 350 instances read cached lists that
// were older than its history over and over. Their replies filled the link of
// the store, and a configuration took effect 12 s late.
BOOST_AUTO_TEST_CASE(after_lost_history_the_list_is_current) {
  client.replies = {Reply(7, {"a"}), Failure(ErrorKind::kHistoryLost),
                    Failure(ErrorKind::kHistoryLost), Reply(20, {"b"})};
  Start(CachedOptions());
  time.RunFor(1100ms);
  BOOST_TEST(client.calls == (Strings{"list ", "cached 7", "check 7", "list ",
                                      "cached 20"}),
             boost::test_tools::per_element());
}

// A cache that lags behind the view does not know the view's revision yet.
BOOST_AUTO_TEST_CASE(a_cache_without_the_revision_does_not_cost_a_list) {
  client.replies = {Reply(7, {"a"}), Failure(ErrorKind::kHistoryLost),
                    Reply(8, {"b"})};
  Start(CachedOptions());
  time.RunFor(1100ms);
  BOOST_TEST(
      client.calls == (Strings{"list ", "cached 7", "check 7", "cached 8"}),
      boost::test_tools::per_element());
}

BOOST_AUTO_TEST_CASE(after_history_lost_in_an_outage_the_list_is_current) {
  client.replies = {Reply(7, {"a"}), Failure(ErrorKind::kStoreUnavailable),
                    Failure(ErrorKind::kHistoryLost), Reply(20, {"b"})};
  Start(CachedOptions());
  time.RunFor(1300ms);
  BOOST_TEST(client.calls == (Strings{"list ", "cached 7", "check 7", "list ",
                                      "cached 20"}),
             boost::test_tools::per_element());
}

// A list of 300 KB took more than a second while 350 instances read it, and
// each of them started over.
BOOST_AUTO_TEST_CASE(a_list_that_timed_out_gets_more_time) {
  for (int i = 0; i < 4; ++i) {
    client.replies.push_back(Failure(ErrorKind::kTimedOut));
  }
  client.replies.push_back(Reply(7, {"a"}));
  Start();
  time.RunFor(5s);
  const std::vector<Duration> expected{1s, 2s, 4s, 4s, 4s};
  BOOST_TEST((client.deadlines == expected));
}

BOOST_AUTO_TEST_CASE(an_outage_is_reported_once_and_retried_with_backoff) {
  client.replies = {Reply(7, {"a"})};
  FailFor(5);
  client.replies.push_back(Reply(7, {}));
  client.replies.push_back(Reply(8, {"b"}));
  Start();
  time.RunFor(8s);
  BOOST_TEST(events == (Strings{"snapshot@7 a", "unavailable store_unavailable",
                                "recovered", "changes b"}),
             boost::test_tools::per_element());
}

// If the store loses its history while a watch is cut off, a repeated watch is
// held although the change has already been made; this delayed a change by 6 s.
// A read that does not wait either has the change, or shows that the history is
// lost.
BOOST_AUTO_TEST_CASE(after_a_failed_watch_the_changes_are_read_currently) {
  client.replies = {Reply(7, {"a"}), Failure(ErrorKind::kStoreUnavailable),
                    Failure(ErrorKind::kHistoryLost), Reply(22, {"b"})};
  Start(CachedOptions());
  time.RunFor(1100ms);
  BOOST_TEST(client.calls == (Strings{"list ", "cached 7", "check 7", "list ",
                                      "cached 22"}),
             boost::test_tools::per_element());
  BOOST_TEST(events.back() == "snapshot@22 b");
  client.unanswered.back()(Failure(ErrorKind::kStoreUnavailable));
  client.replies = {Reply(24, {"c"})};
  time.RunFor(900ms);
  BOOST_TEST(client.calls[5] == "check 22");
  BOOST_TEST(events.back() == "changes c");
}

// Of 60 reads that one instance was charged for on a day, 28 were lists that
// failed during 12 s in which the store was down and slow.
BOOST_AUTO_TEST_CASE(an_outage_of_12_s_costs_few_reads) {
  for (const auto& options : {Options(), CachedOptions()}) {
    client.calls.clear();
    client.replies = {Reply(7, {"a"})};
    for (int i = 0; i < 10; ++i) client.replies.push_back(Reply(7, {}));
    Start(options);
    time.RunFor(2500ms);
    client.replies.clear();
    FailFor(1000);
    const std::size_t calls = client.calls.size();
    time.RunFor(12s);
    const std::size_t failed_calls = client.calls.size() - calls;
    const double price = Price();
    client.replies = {Reply(8, {"b"})};
    time.RunFor(2100ms);
    BOOST_TEST(events.back() == "changes b");
    // The probe that succeeds, and the watch after it.
    BOOST_TEST(Price() - price < 2.1);
    // One failed watch and the probes, each charged as a current read.
    BOOST_TEST(failed_calls < 12U);
    reader.reset();
    client.unanswered.clear();
  }
}

// Two readers that each probed the store doubled the failed calls.
BOOST_AUTO_TEST_CASE(only_one_reader_probes_an_unavailable_store) {
  struct : ProbeTurns::Reader {
    void OnTurn() override {}
  } other;
  client.replies = {Reply(7, {"a"}), Failure(ErrorKind::kStoreUnavailable),
                    Reply(8, {"b"})};
  BOOST_REQUIRE(turns.Request(other));
  Start();
  time.RunFor(20s);
  BOOST_TEST(client.calls == (Strings{"list ", "watch 7"}),
             boost::test_tools::per_element());
  turns.Leave(other);
  time.RunFor(300ms);
  BOOST_TEST(events.back() == "changes b");
}

// The calls of one reader failed for a reason of their own, and the other
// reader waited for its success for 20 s.
BOOST_AUTO_TEST_CASE(a_reader_whose_probe_failed_gives_its_turn_to_another) {
  struct : ProbeTurns::Reader {
    void OnTurn() override { ++count; }
    int count = 0;
  } other;
  client.replies = {Reply(7, {"a"}), Failure(ErrorKind::kStoreUnavailable),
                    Failure(ErrorKind::kStoreUnavailable)};
  Start();
  while (events.empty() || events.back() == "snapshot@7 a") time.RunFor(1ms);
  BOOST_TEST(!turns.Request(other));
  time.RunFor(500ms);
  BOOST_TEST(other.count == 1);
  time.RunFor(20s);
  BOOST_TEST(client.calls == (Strings{"list ", "watch 7", "check 7"}),
             boost::test_tools::per_element());
}

// A store that rejects calls answers, so that there is nothing to wait for. A
// reader that had found the store away before waited 8 s for another one.
BOOST_AUTO_TEST_CASE(a_rejected_reader_does_not_wait_for_its_turn) {
  struct : ProbeTurns::Reader {
    void OnTurn() override { ++count; }
    int count = 0;
  } other;
  client.replies = {Reply(7, {"a"}), Failure(ErrorKind::kStoreUnavailable),
                    Failure(ErrorKind::kRateLimited), Reply(9, {"b"})};
  Start();
  while (events.empty() || events.back() == "snapshot@7 a") time.RunFor(1ms);
  BOOST_TEST(!turns.Request(other));
  time.RunFor(2s);
  BOOST_TEST(events.back() == "changes b");
  BOOST_TEST(other.count == 1);
}

// Without a view an instance cannot serve, so its readers do not wait for each
// other.
BOOST_AUTO_TEST_CASE(a_first_list_is_retried_by_each_reader) {
  struct : ProbeTurns::Reader {
    void OnTurn() override {}
  } other;
  BOOST_REQUIRE(turns.Request(other));
  client.replies = {Failure(ErrorKind::kStoreUnavailable), Reply(7, {"a"}),
                    Reply(7, {})};
  Start();
  time.RunFor(1s);
  BOOST_TEST(events.back() == "snapshot@7 a");
}

// Nor does a reader whose view must be replaced.
BOOST_AUTO_TEST_CASE(a_list_after_lost_history_is_retried_by_each_reader) {
  struct : ProbeTurns::Reader {
    void OnTurn() override {}
  } other;
  BOOST_REQUIRE(turns.Request(other));
  client.replies = {Reply(7, {"a"}), Failure(ErrorKind::kHistoryLost),
                    Failure(ErrorKind::kStoreUnavailable), Reply(9, {"b"})};
  Start();
  time.RunFor(2s);
  BOOST_TEST(events.back() == "snapshot@9 b");
}

BOOST_AUTO_TEST_CASE(
    the_turn_is_free_after_a_success_or_the_end_of_its_reader) {
  struct : ProbeTurns::Reader {
    void OnTurn() override { ++count; }
    int count = 0;
  } other;
  client.replies = {Reply(7, {"a"}), Failure(ErrorKind::kStoreUnavailable)};
  Start();
  while (events.empty() || events.back() == "snapshot@7 a") time.RunFor(1ms);
  BOOST_TEST(!turns.Request(other));
  client.replies = {Reply(8, {"b"})};
  time.RunFor(2100ms);
  BOOST_TEST(other.count == 1);
  turns.Leave(other);
  client.unanswered.back()(Failure(ErrorKind::kTimedOut));
  BOOST_TEST(!turns.Request(other));
  reader.reset();
  BOOST_TEST(other.count == 2);
}

// An odd entry took a whole list for an outage of the store, and the other
// collection waited for it.
BOOST_AUTO_TEST_CASE(a_malformed_reply_is_not_an_outage) {
  client.replies = {Failure(ErrorKind::kMalformedJson),
                    Reply(7, {"a"}),
                    Reply(7, {}),
                    Failure(ErrorKind::kMalformedJson),
                    Failure(ErrorKind::kMalformedJson),
                    Reply(9, {"b"})};
  Start(CachedOptions());
  time.RunFor(5s);
  BOOST_TEST(
      client.calls == (Strings{"list ", "cached list ", "check 7", "cached 7",
                               "list ", "cached list ", "cached 9"}),
      boost::test_tools::per_element());
  BOOST_TEST(events == (Strings{"malformed", "snapshot@7 a", "malformed",
                                "malformed", "snapshot@9 b"}),
             boost::test_tools::per_element());
  BOOST_TEST(!reader->IsAway());
}

// An instance had missed three configurations of 0.4 MB, and read the changes
// for up to 20 s in vain, until the store had forgotten them.
BOOST_AUTO_TEST_CASE(changes_that_are_too_large_are_read_as_a_list) {
  client.replies = {Reply(7, {"a"}), Failure(ErrorKind::kReplyTooLarge),
                    Reply(9, {"b"})};
  Start(CachedOptions());
  time.RunFor(50ms);
  BOOST_TEST(events == (Strings{"snapshot@7 a", "too large", "snapshot@9 b"}),
             boost::test_tools::per_element());
  check_client.replies = {Failure(ErrorKind::kReplyTooLarge)};
  client.replies = {Reply(12, {"c"})};
  Check();
  time.RunFor(50ms);
  BOOST_TEST(events.back() == "snapshot@12 c");
  BOOST_TEST(!reader->IsAway());
}

// The last name of a page cannot be decoded: the next page starts after the one
// before it.
BOOST_AUTO_TEST_CASE(a_page_that_ends_with_an_odd_name_is_continued) {
  client.replies = {Reply(7, {"a", "b", ""}, true), Reply(7, {"", "c"})};
  Start(CachedOptions());
  time.RunFor(900ms);
  BOOST_TEST(client.calls[1] == "list b");
  BOOST_TEST(events.back() == "snapshot@7 a b   c");
}

// Without any name there is no next page; the list must not be read for ever.
BOOST_AUTO_TEST_CASE(a_page_without_names_is_repeated_with_backoff) {
  client.replies.push_back(Reply(7, {"a"}, true));
  for (int i = 0; i < 1000; ++i) {
    client.replies.push_back(Reply(7, {"", ""}, true));
  }
  Start(CachedOptions());
  time.RunFor(10s);
  BOOST_TEST(client.calls.size() < 50U);
  BOOST_TEST(events.back() == "malformed");
}

// One collection finds out first that the store is back.
BOOST_AUTO_TEST_CASE(a_waiting_retry_can_be_started_immediately) {
  client.replies = {Reply(7, {"a"}), Failure(ErrorKind::kStoreUnavailable)};
  Start();
  time.RunFor(10ms);
  while (events.back() != "unavailable store_unavailable") time.RunFor(1ms);
  BOOST_REQUIRE(client.calls.size() == 2U);
  reader->RetryNow();
  BOOST_TEST(client.calls.size() == 3U);
  // A call is in flight now, and the backoff must not start a second one.
  reader->RetryNow();
  time.RunFor(5s);
  BOOST_TEST(client.calls == (Strings{"list ", "watch 7", "check 7"}),
             boost::test_tools::per_element());
}

// A store that fails immediately must not be called in a tight loop.
BOOST_AUTO_TEST_CASE(a_failing_store_is_called_a_few_times_a_second) {
  FailFor(1000);
  Start();
  time.RunFor(10s);
  BOOST_TEST(client.calls.size() < 40U);
}

// A change that the watches missed is found by reading the list again.
BOOST_AUTO_TEST_CASE(the_list_is_read_again_periodically) {
  client.replies.push_back(Reply(7, {"a"}));
  for (int i = 0; i < 11; ++i) client.replies.push_back(Reply(7, {}));
  client.replies.push_back(Reply(30, {"b"}));
  Start();
  time.RunFor(11s);
  BOOST_TEST(events == (Strings{"snapshot@7 a", "snapshot@30 b"}),
             boost::test_tools::per_element());
}

// A stale cache would hide that a target is draining.
BOOST_AUTO_TEST_CASE(a_cache_that_is_behind_does_not_renew_the_view) {
  const TimePoint start = time.Now();
  client.replies = {Reply(7, {"a"}), Reply(5, {"old"}), Reply(7, {})};
  Start(CachedOptions());
  time.RunFor(500ms);
  BOOST_TEST(events == Strings{"snapshot@7 a"},
             boost::test_tools::per_element());
  check_client.replies = {Reply(9, {"b"})};
  Check();
  const TimePoint checked = time.Now() - 10ms;
  BOOST_TEST(events.back() == "changes b");
  BOOST_TEST((reader->CompleteUntil() == checked));
  // The cache has caught up to the revision before the check only.
  time.RunFor(1s);
  BOOST_TEST(client.calls == (Strings{"list ", "cached 7", "cached 9"}),
             boost::test_tools::per_element());
  BOOST_TEST((reader->CompleteUntil() == checked));
  BOOST_TEST((checked > start));
}

// The current read of another collection shows the age of a cached reply.
BOOST_AUTO_TEST_CASE(a_cached_reply_is_as_fresh_as_the_revision_it_reaches) {
  client.replies = {Reply(7, {"a"}), Reply(12, {"b"})};
  Start(CachedOptions());
  const TimePoint read = time.Now() + 2ms;
  revision_clock.Observe(read, At(12));
  time.RunFor(100ms);
  BOOST_TEST(events.back() == "changes b");
  BOOST_TEST((reader->CompleteUntil() == read));
}

BOOST_AUTO_TEST_CASE(a_refresh_reads_changes_immediately_and_once) {
  client.replies = {Reply(7, {"a"})};
  check_client.replies = {Reply(8, {"b"}), Reply(8, {})};
  Start(CachedOptions());
  // Less than the minimum interval between watches.
  time.RunFor(100ms);
  reader->Refresh();
  reader->Refresh();
  time.RunFor(10ms);
  BOOST_TEST(check_client.calls == Strings{"cached 7"},
             boost::test_tools::per_element());
  BOOST_TEST(events.back() == "changes b");
  reader->Refresh();
  BOOST_TEST(check_client.calls.back() == "cached 8");
}

// The cache does not have what the view lacks.
BOOST_AUTO_TEST_CASE(a_refresh_bypasses_a_cache_that_is_behind) {
  client.replies = {Reply(7, {"a"}), Reply(5, {})};
  Start(CachedOptions());
  time.RunFor(100ms);
  reader->Refresh();
  BOOST_TEST(check_client.calls == Strings{"check 7"},
             boost::test_tools::per_element());
}

// A token that nobody knows started a watch while the store was away; the probe
// waited for its deadline.
BOOST_AUTO_TEST_CASE(an_unavailable_store_is_not_asked_for_a_refresh) {
  client.replies = {Reply(7, {"a"}), Failure(ErrorKind::kStoreUnavailable)};
  Start(CachedOptions());
  while (events.empty() || events.back() == "snapshot@7 a") time.RunFor(1ms);
  reader->Refresh();
  BOOST_TEST(check_client.calls.empty());
  BOOST_TEST(client.calls.back() == "cached 7");
}

// A watch that the store never answered hid a change from an instance for 21 s.
BOOST_AUTO_TEST_CASE(a_check_finds_changes_whose_reply_was_lost) {
  client.replies = {Reply(7, {"a"})};
  check_client.replies = {Reply(9, {"b"}), Reply(9, {}),
                          Failure(ErrorKind::kTimedOut)};
  Start();
  time.RunFor(1500ms);
  for (int i = 0; i < 3; ++i) Check();
  BOOST_TEST(check_client.calls == (Strings{"check 7", "check 9", "check 9"}),
             boost::test_tools::per_element());
  BOOST_TEST(events == (Strings{"snapshot@7 a", "changes b",
                                "check failed timed_out"}),
             boost::test_tools::per_element());
  BOOST_TEST(
      (checks == std::vector<ErrorKind>{ErrorKind::kNone, ErrorKind::kNone,
                                        ErrorKind::kTimedOut}));
}

// After failed checks the pending watch is given up, and the outage reported.
BOOST_AUTO_TEST_CASE(failed_checks_start_the_probes) {
  client.replies = {Reply(7, {"a"})};
  Start(CachedOptions());
  time.RunFor(1s);
  reader->OnChecksFailed(ErrorKind::kTimedOut);
  reader->OnChecksFailed(ErrorKind::kTimedOut);
  BOOST_TEST(client.cancelled == 1);
  BOOST_TEST(events.back() == "unavailable timed_out");
  BOOST_TEST(reader->IsAway());
  BOOST_TEST(!reader->IsCheckable());
  client.replies = {Reply(8, {"b"})};
  time.RunFor(300ms);
  BOOST_TEST(client.calls[2] == "check 7");
  BOOST_TEST(events.back() == "changes b");
  BOOST_TEST(reader->IsCheckable());
}

// A reply that stops before the store's revision does not tell its age.
BOOST_AUTO_TEST_CASE(a_truncated_reply_is_continued) {
  client.replies = {Reply(7, {"a"})};
  Start(CachedOptions());
  time.RunFor(1s);
  const TimePoint before = reader->CompleteUntil();
  check_client.replies = {Reply(9, {"b"}, /*has_more=*/true), Reply(12, {"c"})};
  Check();
  BOOST_TEST((reader->CompleteUntil() == before));
  Check();
  BOOST_TEST(check_client.calls == (Strings{"check 7", "check 9"}),
             boost::test_tools::per_element());
  BOOST_TEST((reader->CompleteUntil() > before));
}

// Replies to calls made before the restart are outdated.
BOOST_AUTO_TEST_CASE(a_restart_ignores_answers_to_earlier_calls) {
  Start();
  BOOST_REQUIRE(client.unanswered.size() == 1U);
  client.replies = {Reply(9, {"new"})};
  reader->Start();
  client.unanswered[0](Reply(3, {"old"}));
  time.RunFor(100ms);
  BOOST_TEST(events == Strings{"snapshot@9 new"},
             boost::test_tools::per_element());
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace sapphirestream
