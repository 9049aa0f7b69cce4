// Guards against a view that mixes the states before and after the store was
// restored from a copy, and against changes that are missed because of it.
#include <boost/test/unit_test.hpp>
#include <string>
#include <vector>

#include "sapphirestream/store/collection_reader.h"
#include "test/store/collection_reader_fixture.h"

namespace sapphirestream {
namespace {

using namespace std::chrono_literals;

// The same reply from a store that has been restored.
CollectionReply<int> InEra(std::uint64_t era, CollectionReply<int> reply) {
  reply.revision.era = StoreEra{era};
  for (auto& item : reply.items) item.revision.era = StoreEra{era};
  return reply;
}

BOOST_FIXTURE_TEST_SUITE(collection_reader, CollectionReaderFixture)

// The revisions had passed the lost ones, so that the watch did not fail with
// lost history, and changes made since the restoration were never reported.
BOOST_AUTO_TEST_CASE(a_watch_across_a_restoration_misses_no_change) {
  client.replies = {Reply(7, {"a"}), InEra(2, Reply(9, {"c"})),
                    InEra(2, Reply(9, {"b", "c"}))};
  Start(CachedOptions());
  time.RunFor(1100ms);
  BOOST_TEST(client.calls == (Strings{"list ", "cached 7", "list ", "watch 9"}),
             boost::test_tools::per_element());
  BOOST_TEST(events.back() == "snapshot@9 b c");
}

// The cache of a store that was just restored may still hold the lost part.
BOOST_AUTO_TEST_CASE(the_cache_of_a_restored_store_is_bypassed_for_a_while) {
  CollectionReaderOptions options = CachedOptions();
  options.restored_bypass_period = 2s;
  client.replies = {Reply(7, {"a"}),           InEra(2, Reply(5, {})),
                    InEra(2, Reply(5, {"a"})), InEra(2, Reply(5, {})),
                    InEra(2, Reply(5, {})),    InEra(2, Reply(5, {}))};
  Start(options);
  time.RunFor(3500ms);
  BOOST_TEST(client.calls == (Strings{"list ", "cached 7", "list ", "watch 5",
                                      "watch 5", "cached 5"}),
             boost::test_tools::per_element());
}

BOOST_AUTO_TEST_CASE(pages_of_a_restored_store_never_come_from_the_cache) {
  client.replies = {
      Reply(7, {"a"}), InEra(2, Reply(5, {})), InEra(2, Reply(5, {"a"}, true)),
      InEra(2, Failure(ErrorKind::kRateLimited)), InEra(2, Reply(5, {"b"}))};
  Start(CachedOptions());
  time.RunFor(1900ms);
  BOOST_TEST(client.calls == (Strings{"list ", "cached 7", "list ", "list a",
                                      "list a", "watch 5"}),
             boost::test_tools::per_element());
}

// A rejection names the era as well; the revisions may have passed the lost
// ones before the next call.
BOOST_AUTO_TEST_CASE(a_rejection_by_a_restored_store_is_followed_by_a_list) {
  client.replies = {Reply(7, {"a"}),
                    InEra(2, Failure(ErrorKind::kStoreUnavailable)),
                    InEra(2, Reply(9, {"b"}))};
  Start(CachedOptions());
  time.RunFor(1900ms);
  BOOST_REQUIRE(client.calls.size() >= 3U);
  BOOST_TEST(client.calls[2] == "list ");
  BOOST_TEST(events.back() == "snapshot@9 b");
}

// The view cannot be completed by changes any more. A reader waited for its
// turn before it read the list, while the other one was rejected.
BOOST_AUTO_TEST_CASE(a_list_of_the_next_era_waits_for_no_other_reader) {
  struct : ProbeTurns::Reader {
    void OnTurn() override {}
  } other;
  client.replies = {Reply(7, {"a"}), Failure(ErrorKind::kStoreUnavailable),
                    InEra(2, Failure(ErrorKind::kStoreUnavailable)),
                    InEra(2, Reply(9, {"b"}))};
  Start(CachedOptions());
  while (events.empty() || events.back() == "snapshot@7 a") time.RunFor(1ms);
  BOOST_TEST(!turns.Request(other));
  time.RunFor(3s);
  BOOST_TEST(events.back() == "snapshot@9 b");
}

// A watch that is held since before the restoration reports nothing.
BOOST_AUTO_TEST_CASE(a_list_does_not_wait_behind_a_held_watch) {
  client.replies = {Reply(7, {"a"})};
  Start();
  time.RunFor(1500ms);
  BOOST_TEST(client.cancelled == 0);
  check_client.replies = {Failure(ErrorKind::kHistoryLost)};
  Check();
  BOOST_TEST(client.cancelled == 1);
  BOOST_TEST(client.calls.back() == "list ");
}

BOOST_AUTO_TEST_CASE(an_era_seen_by_another_reader_replaces_the_view) {
  client.replies = {Reply(7, {"a"})};
  Start(CachedOptions());
  time.RunFor(1500ms);
  client.replies = {InEra(2, Reply(9, {"b"}))};
  reader->ObserveEra(StoreEra{2});
  reader->ObserveEra(StoreEra{2});
  time.RunFor(100ms);
  BOOST_TEST(client.calls == (Strings{"list ", "cached 7", "list ", "watch 9"}),
             boost::test_tools::per_element());
  BOOST_TEST(events.back() == "snapshot@9 b");
}

// The store is restored between the cached pages and their confirmation.
BOOST_AUTO_TEST_CASE(a_first_list_of_a_lost_era_is_not_confirmed) {
  client.replies = {Failure(ErrorKind::kRateLimited), Reply(7, {"a"}),
                    InEra(2, Reply(9, {})), InEra(2, Reply(9, {"b"}))};
  Start(CachedOptions());
  time.RunFor(500ms);
  BOOST_TEST(client.calls == (Strings{"list ", "cached list ", "check 7",
                                      "list ", "watch 9"}),
             boost::test_tools::per_element());
  BOOST_TEST(events.back() == "snapshot@9 b");
}

BOOST_AUTO_TEST_CASE(replies_without_an_era_count_as_current) {
  client.replies = {Reply(7, {"a"}), InEra(0, Reply(8, {"b"})),
                    Reply(9, {"c"})};
  Start();
  time.RunFor(2500ms);
  BOOST_TEST(events == (Strings{"snapshot@7 a", "changes b", "changes c"}),
             boost::test_tools::per_element());
}

BOOST_AUTO_TEST_CASE(a_reply_from_before_a_restoration_is_not_applied) {
  client.replies = {InEra(2, Reply(7, {"a"})), Reply(30, {"old"}),
                    InEra(2, Reply(8, {"b"}))};
  Start(CachedOptions());
  time.RunFor(2500ms);
  for (const std::string& event : events) {
    BOOST_TEST(event.find("old") == std::string::npos);
  }
  BOOST_TEST(events.back() == "snapshot@8 b");
  // The cache is bypassed afterwards.
  BOOST_TEST(client.calls.back() == "watch 8");
}

BOOST_AUTO_TEST_CASE(pages_of_two_eras_do_not_become_one_list) {
  client.replies = {Reply(7, {"a"}, true), InEra(2, Reply(5, {"b"})),
                    InEra(2, Reply(5, {"c"}))};
  Start();
  time.RunFor(900ms);
  BOOST_TEST(events.back() == "snapshot@5 c");
  BOOST_TEST(client.calls == (Strings{"list ", "list a", "list ", "watch 5"}),
             boost::test_tools::per_element());
}

BOOST_AUTO_TEST_CASE(a_check_of_a_restored_store_is_followed_by_a_list) {
  client.replies = {Reply(7, {"a"})};
  Start();
  time.RunFor(1500ms);
  check_client.replies = {InEra(2, Reply(9, {"c"}))};
  client.replies = {InEra(2, Reply(9, {"b", "c"}))};
  Check();
  time.RunFor(100ms);
  BOOST_TEST(events.back() == "snapshot@9 b c");
}

// The deadline of calls had doubled while the store did not answer. When it
// rejected calls again, the connection went silent: the list of the next era
// took 4 s, and a route was missing for as long.
BOOST_AUTO_TEST_CASE(a_list_on_a_silent_connection_is_given_up_early) {
  CollectionReaderOptions options = CachedOptions();
  options.max_probe_deadline = 1500ms;
  client.replies = {Reply(7, {"a"}), Failure(ErrorKind::kTimedOut),
                    Failure(ErrorKind::kTimedOut),
                    InEra(1, Failure(ErrorKind::kStoreUnavailable))};
  Start(options);
  while (client.calls.size() < 4U) time.RunFor(10ms);
  time.RunFor(10ms);
  reader->ObserveEra(StoreEra{2});
  BOOST_TEST(client.calls.back() == "list ");
  BOOST_TEST((client.deadlines.back() == 1500ms));
  // A new connection may be slow.
  client.replies = {InEra(2, Reply(9, {"b"}))};
  client.unanswered.back()(Failure(ErrorKind::kStoreUnavailable));
  time.RunFor(10ms);
  BOOST_TEST((client.deadlines.back() == options.max_call_deadline));
  BOOST_TEST(events.back() == "snapshot@9 b");
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace sapphirestream
