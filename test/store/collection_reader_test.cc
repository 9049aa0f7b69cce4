// Guards against missed changes, excessive store calls, and a reader that does
// not resume after an outage.
#include "sapphirestream/store/collection_reader.h"

#include <boost/test/unit_test.hpp>
#include <deque>
#include <string>
#include <vector>

#include "testing/virtual_time.h"

namespace sapphirestream {
namespace {

using namespace std::chrono_literals;

// Answers each call with the next scripted reply; calls without a reply stay
// pending.
struct FakeClient : CollectionClient<int> {
  explicit FakeClient(testing::VirtualTime& virtual_time)
      : time(virtual_time) {}

  void List(const std::string& after, Freshness freshness,
            Duration /*deadline*/, Done done) override {
    calls.push_back(
        (freshness == Freshness::kCached ? "cached list " : "list ") + after);
    Answer(std::move(done));
  }
  void Watch(std::uint64_t since, Duration /*wait*/, Freshness freshness,
             Duration /*deadline*/, Done done) override {
    calls.push_back((freshness == Freshness::kCached ? "cached " : "watch ") +
                    std::to_string(since));
    Answer(std::move(done));
  }
  void Answer(Done done) {
    if (replies.empty()) {
      unanswered.push_back(std::move(done));
      return;
    }
    time.After(4ms, [done = std::move(done), reply = replies.front()] {
      done(reply);
    });
    replies.pop_front();
  }

  testing::VirtualTime& time;
  std::deque<CollectionReply<int>> replies;
  std::vector<Done> unanswered;
  std::vector<std::string> calls;
};

CollectionReply<int> Reply(std::uint64_t revision,
                           std::vector<std::string> names,
                           bool has_more = false) {
  CollectionReply<int> reply;
  reply.revision = revision;
  reply.has_more = has_more;
  for (std::string& name : names) {
    reply.items.push_back({std::move(name), revision, false, 1});
  }
  return reply;
}

CollectionReply<int> Failure(ErrorKind error) {
  CollectionReply<int> reply;
  reply.error = error;
  return reply;
}

struct Fixture : CollectionObserver<int> {
  void OnSnapshot(const std::vector<CollectionItem<int>>& items,
                  std::uint64_t revision) override {
    std::string text = "snapshot@" + std::to_string(revision);
    for (const auto& item : items) text += " " + item.name;
    events.push_back(text);
  }
  void OnChanges(const std::vector<CollectionItem<int>>& items) override {
    std::string text = "changes";
    for (const auto& item : items) text += " " + item.name;
    events.push_back(text);
  }
  void OnStoreUnavailable(ErrorKind error) override {
    events.push_back("unavailable " + std::string(AnswerFor(error).name));
  }
  void OnStoreRecovered(Duration /*away*/) override {
    events.emplace_back("recovered");
  }
  void OnPollFailed(ErrorKind error) override {
    events.push_back("poll failed " + std::string(AnswerFor(error).name));
  }
  void OnRateLimited() override { events.emplace_back("refused"); }

  static CollectionReaderOptions Options() {
    CollectionReaderOptions options;
    options.min_watch_interval = 1s;
    options.relist_period = 10s;
    return options;
  }
  void Start(CollectionReaderOptions options = Options()) {
    reader = std::make_unique<CollectionReader<int>>(client, time, time, random,
                                                     *this, options);
    reader->Start();
  }

  testing::VirtualTime time;
  SeededRandom random{1};
  FakeClient client{time};
  std::vector<std::string> events;
  std::unique_ptr<CollectionReader<int>> reader;
};

using Strings = std::vector<std::string>;

BOOST_FIXTURE_TEST_SUITE(collection_reader, Fixture)

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

// Guards against restarting the list after a rejected page: 300 instances that
// started together did so and served only after 30 s.
BOOST_AUTO_TEST_CASE(a_rejected_page_is_requested_again) {
  client.replies = {Reply(7, {"a", "b"}, true),
                    Failure(ErrorKind::kStoreUnavailable), Reply(9, {"c"})};
  Start();
  time.RunFor(900ms);
  BOOST_REQUIRE(client.calls.size() >= 3U);
  BOOST_TEST(client.calls[2] == "list b");
  BOOST_TEST(events.back() == "snapshot@7 a b c");
}

// When 300 instances restart together after a power loss, their list pages
// exceed the rate limit of the store. With current reads alone, the last
// instance served after 30 s.
BOOST_AUTO_TEST_CASE(pages_come_from_the_cache_after_a_rejection) {
  CollectionReaderOptions options = Options();
  options.freshness = Freshness::kCached;
  client.replies = {Reply(7, {"a"}, true), Failure(ErrorKind::kRateLimited),
                    Reply(5, {"b"}, true), Reply(6, {"c"}), Reply(9, {"d"})};
  Start(options);
  time.RunFor(1900ms);
  // The watch starts from the oldest page and must bypass the cache.
  BOOST_TEST(client.calls == (Strings{"list ", "list a", "cached list a",
                                      "cached list b", "watch 5", "cached 9"}),
             boost::test_tools::per_element());
  BOOST_TEST(events == (Strings{"refused", "snapshot@5 a b c", "changes d"}),
             boost::test_tools::per_element());
}

// With 300 instances, relists by current reads alone exceed the rate limit of
// the store.
BOOST_AUTO_TEST_CASE(relists_use_the_cache_if_watches_do) {
  CollectionReaderOptions options = Options();
  options.freshness = Freshness::kCached;
  client.replies.push_back(Reply(7, {"a"}));
  for (int i = 0; i < 11; ++i) client.replies.push_back(Reply(7, {}));
  client.replies.push_back(Reply(7, {"a"}));
  Start(options);
  time.RunFor(12s);
  BOOST_REQUIRE(client.calls.size() >= 2U);
  BOOST_TEST(*(client.calls.end() - 2) == "cached list ");
  BOOST_TEST(client.calls.back() == "watch 7");
}

// Rate limiting is not an outage: nothing expires, and a new list would cost
// more calls.
BOOST_AUTO_TEST_CASE(a_rate_limited_watch_is_repeated) {
  client.replies = {Reply(7, {"a"}), Failure(ErrorKind::kRateLimited)};
  Start();
  time.RunFor(900ms);
  BOOST_TEST(client.calls == (Strings{"list ", "watch 7", "watch 7"}),
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

BOOST_AUTO_TEST_CASE(an_outage_is_reported_once_and_retried_with_backoff) {
  client.replies = {Reply(7, {"a"})};
  for (int i = 0; i < 5; ++i) {
    client.replies.push_back(Failure(ErrorKind::kStoreUnavailable));
  }
  client.replies.push_back(Reply(8, {"b"}));
  Start();
  time.RunFor(8s);
  BOOST_TEST(events == (Strings{"snapshot@7 a", "unavailable store_unavailable",
                                "recovered", "snapshot@8 b"}),
             boost::test_tools::per_element());
}

// If the store loses its history while a watch is cut off, a repeated watch is
// held although the change has already been made; this delayed a change by 6 s.
BOOST_AUTO_TEST_CASE(after_a_failed_watch_the_list_is_read_again) {
  client.replies = {Reply(7, {"a"}), Failure(ErrorKind::kStoreUnavailable),
                    Reply(22, {"b"})};
  Start();
  time.RunFor(900ms);
  BOOST_REQUIRE(client.calls.size() >= 3U);
  BOOST_TEST(client.calls[2] == "list ");
}

// A store that fails immediately must not be called in a tight loop.
BOOST_AUTO_TEST_CASE(a_failing_store_is_called_a_few_times_a_second) {
  for (int i = 0; i < 1000; ++i) {
    client.replies.push_back(Failure(ErrorKind::kStoreUnavailable));
  }
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
BOOST_AUTO_TEST_CASE(a_cache_that_is_behind_is_not_used_for_a_while) {
  CollectionReaderOptions options = Options();
  options.freshness = Freshness::kCached;
  options.cache_bypass_period = 2s;
  client.replies = {Reply(7, {"a"}), Reply(7, {}),    Reply(5, {}),
                    Reply(7, {}),    Reply(8, {"b"}), Reply(8, {})};
  Start(options);
  time.RunFor(4500ms);
  BOOST_TEST(client.calls == (Strings{"list ", "cached 7", "cached 7",
                                      "watch 7", "watch 7", "cached 8"}),
             boost::test_tools::per_element());
}

BOOST_AUTO_TEST_CASE(a_refresh_starts_a_single_watch_immediately) {
  client.replies = {Reply(7, {"a"}), Reply(8, {"b"})};
  Start();
  // Less than the minimum interval between watches.
  time.RunFor(100ms);
  BOOST_REQUIRE(client.calls.size() == 2U);
  reader->Refresh();
  reader->Refresh();
  BOOST_TEST(client.calls == (Strings{"list ", "watch 7", "watch 8"}),
             boost::test_tools::per_element());
}

// A watch that the store never answered hid a change from an instance for 21 s.
BOOST_AUTO_TEST_CASE(a_poll_finds_changes_whose_reply_was_lost) {
  client.replies = {Reply(7, {"a"})};
  Start();
  time.RunFor(1500ms);
  FakeClient other(time);
  other.replies = {Reply(9, {"b"}), Reply(9, {}),
                   Failure(ErrorKind::kTimedOut)};
  for (int i = 0; i < 3; ++i) {
    reader->Poll(other);
    time.RunFor(10ms);
  }
  BOOST_TEST(other.calls == (Strings{"cached 7", "cached 7", "cached 7"}),
             boost::test_tools::per_element());
  BOOST_TEST(
      events == (Strings{"snapshot@7 a", "changes b", "poll failed timed_out"}),
      boost::test_tools::per_element());
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
