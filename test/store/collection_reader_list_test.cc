// Guards against lists that are incomplete, older than the history that is
// left, or read again and again, and against pages that exceed the store's
// rate.
#include <boost/test/unit_test.hpp>
#include <string>
#include <vector>

#include "sapphirestream/store/collection_reader.h"
#include "test/store/collection_reader_fixture.h"

namespace sapphirestream {
namespace {

using namespace std::chrono_literals;

BOOST_FIXTURE_TEST_SUITE(collection_reader, CollectionReaderFixture)

BOOST_AUTO_TEST_CASE(pages_of_one_revision_become_one_snapshot) {
  client.replies = {Reply(7, {"a", "b"}, true), Reply(7, {"c"})};
  Start();
  time.RunFor(2s);
  BOOST_TEST(events == Strings{"snapshot@7 a b c"},
             boost::test_tools::per_element());
  BOOST_TEST(client.calls == (Strings{"list ", "list b", "watch 7"}),
             boost::test_tools::per_element());
}

// An instance that started served on pages of different revisions. Another
// writer's entry that had gone before the last page was used for a target whose
// own entry had gone as well, and open flows were reset.
BOOST_AUTO_TEST_CASE(a_first_list_of_mixed_pages_is_unused_until_confirmed) {
  CollectionReply<int> changes = Reply(9, {"d"});
  changes.items.push_back({"a", At(8), true, std::nullopt});
  client.replies = {Reply(7, {"a", "b"}, true), Reply(9, {"c"})};
  Start(CachedOptions());
  time.RunFor(2s);
  BOOST_TEST(events.empty());
  BOOST_TEST(client.calls == (Strings{"list ", "list b", "check 7"}),
             boost::test_tools::per_element());
  BOOST_REQUIRE(client.unanswered.size() == 1U);
  client.unanswered[0](changes);
  BOOST_TEST(events == Strings{"snapshot@9 b c d"},
             boost::test_tools::per_element());
}

// What is known already is not replaced by a list, only changed.
BOOST_AUTO_TEST_CASE(a_later_list_of_mixed_pages_is_used_at_once) {
  client.replies = {Reply(7, {"a"}), Failure(ErrorKind::kHistoryLost),
                    Reply(8, {"a"}, true), Reply(9, {"b"})};
  Start();
  time.RunFor(2s);
  BOOST_TEST(events == (Strings{"snapshot@7 a", "snapshot@8 a b"}),
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

// An instance had missed three configurations of 0.4 MB, and read the changes
// for up to 20 s in vain, until the store had forgotten them.
BOOST_AUTO_TEST_CASE(changes_that_are_too_large_are_read_as_a_list) {
  client.replies = {Reply(7, {"a"}), Failure(ErrorKind::kReplyTooLarge),
                    Reply(9, {"b"})};
  Start(CachedOptions());
  time.RunFor(50ms);
  BOOST_TEST(
      events == (Strings{"snapshot@7 a", "changes too large", "snapshot@9 b"}),
      boost::test_tools::per_element());
  check_client.replies = {Failure(ErrorKind::kReplyTooLarge)};
  client.replies = {Reply(12, {"c"})};
  Check();
  time.RunFor(50ms);
  BOOST_TEST(events.back() == "snapshot@12 c");
  BOOST_TEST(!reader->IsAway());
}

// In a storm of large configurations an instance with a slow link read each
// version that it had missed, and fell behind by 10 s and more.
BOOST_AUTO_TEST_CASE(changes_are_read_only_up_to_the_size_of_a_list) {
  CollectionReply<int> list = Reply(7, {"a"});
  list.bytes = 1'000'000;
  client.replies = {list, Failure(ErrorKind::kReplyTooLarge), Reply(9, {"b"})};
  Start(CachedOptions());
  time.RunFor(50ms);
  BOOST_TEST(client.change_limits.back() == 1'500'000U);
  // As fresh as the changes would have been.
  BOOST_TEST(client.calls == (Strings{"list ", "cached 7", "cached list "}),
             boost::test_tools::per_element());
  // The second list was small, so that the changes cost less than a list.
  time.RunFor(2s);
  BOOST_TEST(client.calls.back() == "cached 9");
  BOOST_TEST(client.change_limits.back() ==
             CollectionReader<int>::kMinChangeBytes);
  check_client.replies = {Failure(ErrorKind::kReplyTooLarge)};
  client.replies = {Reply(12, {"c"})};
  const std::size_t calls = client.calls.size();
  Check(Freshness::kCurrent);
  time.RunFor(50ms);
  BOOST_TEST(client.calls.at(calls) == "list ");
  BOOST_TEST(events.back() == "snapshot@12 c");
}

// A check fetched the changes that a watch was receiving. Both took twice as
// long on a slow link, so that the check failed.
BOOST_AUTO_TEST_CASE(a_view_is_not_checked_while_its_changes_arrive) {
  client.replies = {Reply(7, {"a"})};
  Start();
  time.RunFor(1100ms);
  BOOST_TEST(reader->IsCheckable());
  client.is_receiving = true;
  BOOST_TEST(!reader->IsCheckable());
  client.is_receiving = false;
  BOOST_TEST(reader->IsCheckable());
}

BOOST_AUTO_TEST_CASE(the_size_of_a_list_is_that_of_all_its_pages) {
  CollectionReply<int> first = Reply(7, {"a"}, /*has_more=*/true);
  CollectionReply<int> second = Reply(7, {"b"});
  first.bytes = 600'000;
  second.bytes = 200'000;
  client.replies = {first, second};
  Start();
  time.RunFor(1500ms);
  BOOST_TEST(client.change_limits.back() == 1'200'000U);
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

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace sapphirestream
