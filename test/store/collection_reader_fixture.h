// Fixture of a collection reader whose client answers with scripted replies.
#ifndef SAPPHIRESTREAM_TEST_STORE_COLLECTION_READER_FIXTURE_H_
#define SAPPHIRESTREAM_TEST_STORE_COLLECTION_READER_FIXTURE_H_

#include <chrono>
#include <deque>
#include <memory>
#include <string>
#include <utility>
#include <vector>

#include "sapphirestream/store/collection_reader.h"
#include "testing/virtual_time.h"

namespace sapphirestream {
// Answers each call with the next scripted reply; calls without a reply stay
// pending.
struct FakeClient : CollectionClient<int> {
  explicit FakeClient(testing::VirtualTime& virtual_time)
      : time(virtual_time) {}

  void List(const std::string& after, Freshness freshness,
            const CallLimits& limits, Done done) override {
    deadlines.push_back(limits.deadline);
    calls.push_back(
        (freshness == Freshness::kCached ? "cached list " : "list ") + after);
    Answer(std::move(done));
  }
  void Watch(std::uint64_t since, Duration wait, Freshness freshness,
             const CallLimits& limits, Done done) override {
    change_limits.push_back(limits.max_bytes);
    const char* const call = wait > Duration::zero() ? "watch " : "check ";
    calls.push_back((freshness == Freshness::kCached ? "cached " : call) +
                    std::to_string(since));
    Answer(std::move(done));
  }
  void Cancel() override { ++cancelled; }
  [[nodiscard]] bool IsReceiving() const override { return is_receiving; }
  void Answer(Done done) {
    if (replies.empty()) {
      unanswered.push_back(std::move(done));
      return;
    }
    time.After(
        std::chrono::milliseconds(4),
        [done = std::move(done), reply = replies.front()] { done(reply); });
    replies.pop_front();
  }

  testing::VirtualTime& time;
  std::deque<CollectionReply<int>> replies;
  std::vector<Done> unanswered;
  std::vector<std::string> calls;
  int cancelled = 0;
  bool is_receiving = false;
  // Deadlines of the lists.
  std::vector<Duration> deadlines;
  // Limits of the size of changes.
  std::vector<std::size_t> change_limits;
};

inline StoreRevision At(std::uint64_t number) { return {StoreEra{1}, number}; }

inline CollectionReply<int> Reply(std::uint64_t revision,
                                  std::vector<std::string> names,
                                  bool has_more = false) {
  CollectionReply<int> reply;
  reply.revision = At(revision);
  reply.has_more = has_more;
  for (std::string& name : names) {
    reply.items.push_back({std::move(name), At(revision), false, 1});
  }
  return reply;
}

inline CollectionReply<int> Failure(ErrorKind error) {
  CollectionReply<int> reply;
  reply.error = error;
  return reply;
}

struct CollectionReaderFixture : CollectionObserver<int> {
  void OnSnapshot(const std::vector<CollectionItem<int>>& items,
                  StoreRevision revision) override {
    std::string text = "snapshot@" + std::to_string(revision.number);
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
  void OnStoreRecovered(Duration away) override {
    events.emplace_back("recovered");
    outages.push_back(away);
  }
  void OnCacheOutdated() override { events.emplace_back("cache outdated"); }
  void OnCheckFailed(ErrorKind error) override {
    events.push_back("check failed " + std::string(AnswerFor(error).name));
  }
  void OnReplyUnusable(ErrorKind error) override {
    events.emplace_back(error == ErrorKind::kReplyTooLarge ? "too large"
                                                           : "malformed");
  }
  void OnChangesTooLarge() override {
    events.emplace_back("changes too large");
  }
  void OnRateLimited() override { events.emplace_back("refused"); }

  static CollectionReaderOptions Options() {
    CollectionReaderOptions options;
    options.min_watch_interval = std::chrono::seconds(1);
    options.relist_period = std::chrono::seconds(10);
    return options;
  }
  static CollectionReaderOptions CachedOptions() {
    CollectionReaderOptions options = Options();
    options.freshness = Freshness::kCached;
    return options;
  }
  // Price of all calls in current reads. A cached one costs a tenth.
  [[nodiscard]] double Price() const {
    double price = 0;
    for (const std::string& call : client.calls) {
      price += call.starts_with("cached ") ? 0.1 : 1;
    }
    return price;
  }
  void FailFor(int calls) {
    for (int i = 0; i < calls; ++i) {
      client.replies.push_back(Failure(ErrorKind::kStoreUnavailable));
    }
  }
  void Start(CollectionReaderOptions options = Options()) {
    reader = std::make_unique<CollectionReader<int>>(
        client, check_client,
        ReaderContext{time, time, random, turns, revision_clock}, *this,
        options);
    reader->Start();
  }

  // Checks the reader, and returns when the check has been answered.
  void Check(Freshness freshness = Freshness::kCurrent) {
    reader->Check(freshness, std::chrono::seconds(1),
                  [this](ErrorKind error) { checks.push_back(error); });
    time.RunFor(std::chrono::milliseconds(10));
  }

  testing::VirtualTime time;
  SeededRandom random{1};
  FakeClient client{time};
  FakeClient check_client{time};
  // Outcomes of the checks.
  std::vector<ErrorKind> checks;
  std::vector<std::string> events;
  // Lengths of the outages that have ended.
  std::vector<Duration> outages;
  ProbeTurns turns;
  RevisionClock revision_clock;
  std::unique_ptr<CollectionReader<int>> reader;
};

using Strings = std::vector<std::string>;

}  // namespace sapphirestream

#endif  // SAPPHIRESTREAM_TEST_STORE_COLLECTION_READER_FIXTURE_H_
