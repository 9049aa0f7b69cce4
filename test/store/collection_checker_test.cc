// Guards against a view that is older than the bound on a change, whatever
// keeps the change from the reader, and against excessive calls.
#include "sapphirestream/store/collection_checker.h"

#include <boost/test/unit_test.hpp>
#include <map>
#include <memory>
#include <string>

#include "sapphirestream/store/collection_reader.h"
#include "test/store/model_store.h"

namespace sapphirestream {
namespace {

using namespace std::chrono_literals;

constexpr Duration kMaxAge = 3s;

// Remembers when each object was seen.
struct Observer : CollectionObserver<int> {
  explicit Observer(testing::VirtualTime& virtual_time) : time(virtual_time) {}
  void OnSnapshot(const std::vector<CollectionItem<int>>& items,
                  StoreRevision /*revision*/) override {
    OnChanges(items);
  }
  void OnChanges(const std::vector<CollectionItem<int>>& items) override {
    for (const auto& item : items) seen.try_emplace(item.name, time.Now());
  }
  void OnSynced() override { on_synced(); }
  void OnStoreUnavailable(ErrorKind /*error*/) override { ++outages; }
  void OnStoreRecovered(Duration /*outage*/) override { on_recovered(); }

  testing::VirtualTime& time;
  std::map<std::string, TimePoint> seen;
  int outages = 0;
  std::function<void()> on_synced;
  std::function<void()> on_recovered;
};

// Two collections of one store, as an instance follows them.
struct Fixture {
  Fixture() {
    for (Observer* observer : {&targets, &routes}) {
      observer->on_synced = [this] { checker.Run(); };
      observer->on_recovered = [this] {
        target_reader.RetryNow();
        route_reader.RetryNow();
        checker.Run();
      };
    }
    store.Put("targets", "t0");
    store.Put("routes", "r0");
    checker.Emplace(target_reader, kMaxAge);
    checker.Emplace(route_reader, kMaxAge);
    target_reader.Start();
    route_reader.Start();
    time.RunFor(1s);
  }
  static CollectionReaderOptions Options() {
    CollectionReaderOptions options;
    options.freshness = Freshness::kCached;
    options.watch_timeout = 3s;
    options.min_watch_interval = 1500ms;
    options.max_probe_deadline = kMaxAge / 2;
    options.backoff.cap = kMaxAge / 3;
    return options;
  }
  // Makes a change at each of some moments of the checks' cycle, and returns
  // the longest time until one of them was seen.
  Duration LongestDelay() {
    Duration longest{};
    for (int i = 0; i < 20; ++i) {
      const std::string name = "x" + std::to_string(store.revision);
      const TimePoint t = store.Put("targets", name);
      time.RunFor(410ms);
      const TimePoint r = store.Put("routes", name);
      time.RunFor(kMaxAge + 1s);
      BOOST_REQUIRE(targets.seen.contains(name));
      BOOST_REQUIRE(routes.seen.contains(name));
      longest =
          std::max({longest, targets.seen[name] - t, routes.seen[name] - r});
    }
    return longest;
  }
  // Makes the change with this number in both collections.
  std::string PutInBoth(int number) {
    std::string name = "x" + std::to_string(number);
    store.Put("targets", name);
    store.Put("routes", name);
    return name;
  }
  void CheckSeenInTime(const std::string& change) {
    time.RunFor(kMaxAge);
    BOOST_TEST(targets.seen.contains(change));
    BOOST_TEST(routes.seen.contains(change));
  }
  // Makes changes after the open connections have gone silent, at some moments
  // of the checks' cycle.
  void CheckChangesAfterSilence() {
    for (int i = 0; i < 20; ++i) {
      time.RunFor(370ms);
      store.SilenceOpenConnections();
      CheckSeenInTime(PutInBoth(i));
    }
  }

  testing::VirtualTime time;
  SeededRandom random{1};
  ModelStore store{time};
  ModelConnection target_connection;
  ModelConnection route_connection;
  ModelConnection check_connection;
  ModelClient target_client{store, target_connection, "targets"};
  ModelClient target_check_client{store, check_connection, "targets"};
  ModelClient route_client{store, route_connection, "routes"};
  ModelClient route_check_client{store, check_connection, "routes"};
  ProbeTurns turns;
  RevisionClock revision_clock;
  ReaderContext context{time, time, random, turns, revision_clock};
  Observer targets{time};
  Observer routes{time};
  CollectionReader<int> target_reader{target_client, target_check_client,
                                      context, targets, Options()};
  CollectionReader<int> route_reader{route_client, route_check_client, context,
                                     routes, Options()};
  CollectionChecker checker{time, time, revision_clock};
};

BOOST_FIXTURE_TEST_SUITE(collection_checker, Fixture)

BOOST_AUTO_TEST_CASE(a_failed_check_and_a_second_one_fit_into_the_bound) {
  for (const Duration max_age : {Duration(500ms), Duration(3s), Duration(6s)}) {
    const CheckTiming timing = CheckTimingFor(max_age);
    BOOST_TEST((timing.interval + timing.deadline < max_age));
    BOOST_TEST((timing.interval > max_age / 2));
    BOOST_TEST((timing.deadline <= 1s));
  }
}

// Targets were followed by cached reads only, whose lag nothing bounded: new
// orders went to a target later than a draining one may get them.
BOOST_AUTO_TEST_CASE(a_lagging_cache_hides_no_change_longer_than_the_bound) {
  for (const Duration lag : {Duration(2s), Duration(3s), Duration(10s)}) {
    store.cache_lag = lag;
    BOOST_TEST((LongestDelay() < kMaxAge));
    BOOST_TEST((time.Now() - target_reader.CompleteUntil() < kMaxAge));
  }
}

// A drain stayed unknown for 5.5 s, until the deadline of a watch.
BOOST_AUTO_TEST_CASE(silent_connections_hide_no_change_for_long) {
  CheckChangesAfterSilence();
}

// Together: the cache cannot take the place of a silent connection.
BOOST_AUTO_TEST_CASE(silent_connections_and_a_lagging_cache_hide_nothing) {
  store.cache_lag = 10s;
  CheckChangesAfterSilence();
}

// Time for which an instance may still use its old view after an outage.
BOOST_AUTO_TEST_CASE(after_an_outage_the_view_is_complete_within_the_bound) {
  for (int i = 0; i < 10; ++i) {
    store.is_available = false;
    time.RunFor(5500ms + i * 170ms);
    const std::string name = PutInBoth(i);
    store.is_available = true;
    CheckSeenInTime(name);
  }
  BOOST_TEST(targets.outages == 10);
  BOOST_TEST(routes.outages == 10);
}

// A call that hangs when the store answers again must not hang for long: a
// change from just before the outage must be known 4 s after its end.
BOOST_AUTO_TEST_CASE(after_a_silent_outage_the_view_is_complete_within_4_s) {
  for (int i = 0; i < 25; ++i) {
    const std::string name = "x" + std::to_string(i);
    store.is_silent = true;
    store.Put("targets", name);
    store.Put("routes", name);
    time.RunFor(3s + i * 370ms);
    store.is_silent = false;
    time.RunFor(4s);
    BOOST_TEST(targets.seen.contains(name));
    BOOST_TEST(routes.seen.contains(name));
    time.RunFor(2s);
  }
}

BOOST_AUTO_TEST_CASE(one_current_read_serves_both_collections) {
  const auto calls = [this] {
    return std::pair(
        target_check_client.current_calls + route_check_client.current_calls,
        target_check_client.cached_calls + route_check_client.cached_calls);
  };
  const auto [current, cached] = calls();
  time.RunFor(60s);
  const auto [current_after_calm, cached_after_calm] = calls();
  const auto checks = 60s / CheckTimingFor(kMaxAge).interval;
  BOOST_TEST(current_after_calm - current <= checks + 1);
  // Nothing changed, so that the revision is the same for both.
  BOOST_TEST(cached_after_calm - cached == 0);
  for (int i = 0; i < 60; ++i) {
    store.Put("targets", "x" + std::to_string(i));
    time.RunFor(1s);
  }
  const auto [current_at_end, cached_at_end] = calls();
  BOOST_TEST(current_at_end - current_after_calm <= checks + 1);
  BOOST_TEST(cached_at_end - cached_after_calm <= checks + 1);
}

// Each failed call is charged as a current read.
BOOST_AUTO_TEST_CASE(a_store_that_is_away_is_not_checked) {
  store.is_available = false;
  time.RunFor(4s);
  const int checks =
      target_check_client.current_calls + route_check_client.current_calls;
  time.RunFor(20s);
  BOOST_TEST(target_check_client.current_calls +
                 route_check_client.current_calls ==
             checks);
  BOOST_TEST(targets.outages == 1);
}

// One instance of many that tell each other what they have read.
struct Instance {
  Instance(testing::VirtualTime& virtual_time, ModelStore& store,
           std::uint64_t seed)
      : time(virtual_time),
        random(seed),
        client(store, connection, "targets"),
        check_client(store, check_connection, "targets") {
    observer.on_synced = [this] { checker.Run(); };
    observer.on_recovered = [this] { checker.Run(); };
    checker.SpreadChecks(random);
    checker.Emplace(reader, kMaxAge);
    reader.Start();
  }

  testing::VirtualTime& time;
  SeededRandom random;
  ModelConnection connection;
  ModelConnection check_connection;
  ModelClient client;
  ModelClient check_client;
  ProbeTurns turns;
  RevisionClock revision_clock;
  Observer observer{time};
  CollectionReader<int> reader{client,
                               check_client,
                               {time, time, random, turns, revision_clock},
                               observer,
                               Fixture::Options()};
  CollectionChecker checker{time, time, revision_clock};
};

// Each instance read the store itself, so that the calls grew with the fleet.
BOOST_AUTO_TEST_CASE(instances_that_share_their_reads_check_in_turns) {
  constexpr std::size_t size = 25;
  constexpr Duration exchange_delay = 100ms;
  std::vector<std::unique_ptr<Instance>> instances;
  for (std::size_t i = 0; i < size; ++i) {
    instances.push_back(std::make_unique<Instance>(time, store, i + 2));
  }
  time.RunFor(5s);
  int before = 0;
  for (const auto& instance : instances) {
    before += instance->check_client.current_calls;
  }
  constexpr Duration period = 60s;
  for (Duration elapsed{}; elapsed < period; elapsed += exchange_delay) {
    if (elapsed % 1s == 0s) PutInBoth(static_cast<int>(elapsed / 1s));
    std::vector<RevisionTime> reads;
    reads.reserve(size);
    for (const auto& instance : instances) {
      reads.push_back(*instance->revision_clock.Latest());
    }
    time.RunFor(exchange_delay);
    for (const auto& instance : instances) {
      for (const RevisionTime& read : reads) {
        (void)instance->revision_clock.Merge(read);
      }
      BOOST_REQUIRE((time.Now() - instance->reader.CompleteUntil() < kMaxAge));
    }
  }
  int calls = -before;
  for (const auto& instance : instances) {
    calls += instance->check_client.current_calls;
  }
  const auto calls_if_alone =
      static_cast<int>(size) *
      static_cast<int>(period / CheckTimingFor(kMaxAge).interval);
  BOOST_TEST(calls * 3 < calls_if_alone);
}

// Its checks succeed and do not complete the view.
struct StuckCollection final : CheckedCollection {
  explicit StuckCollection(testing::VirtualTime& virtual_time)
      : time(virtual_time), complete_until(virtual_time.Now()) {}
  [[nodiscard]] TimePoint CompleteUntil() const override {
    return complete_until;
  }
  [[nodiscard]] bool IsAway() const override { return false; }
  [[nodiscard]] bool IsCheckable() const override { return true; }
  void Check(Freshness /*freshness*/, Duration /*deadline*/,
             CheckDone done) override {
    ++checks;
    time.After(10ms, [done = std::move(done)] { done(ErrorKind::kNone); });
  }
  void OnChecksFailed(ErrorKind /*error*/) override {}

  testing::VirtualTime& time;
  TimePoint complete_until;
  int checks = 0;
};

// Checks that did not complete the view followed each other without a pause
// while the view was older than the spread check allowed, but not due
// otherwise.
BOOST_AUTO_TEST_CASE(
    a_spread_check_that_completes_nothing_is_followed_by_a_pause) {
  StuckCollection collection(time);
  const RevisionClock no_reads;
  CollectionChecker spread(time, time, no_reads);
  spread.SpreadChecks(random);
  spread.Emplace(collection, kMaxAge);
  spread.Run();
  time.RunFor(CheckTimingFor(kMaxAge).interval);
  // One check, and at most two after pauses of 500 ms.
  BOOST_TEST(collection.checks >= 1);
  BOOST_TEST(collection.checks <= 3);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace sapphirestream
