// Guards against missed changes and excessive store calls. Lists and outages
// have files of their own.
#include "sapphirestream/store/collection_reader.h"

#include <boost/test/unit_test.hpp>
#include <string>
#include <vector>

#include "test/store/collection_reader_fixture.h"

namespace sapphirestream {
namespace {

using namespace std::chrono_literals;

BOOST_FIXTURE_TEST_SUITE(collection_reader, CollectionReaderFixture)

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
