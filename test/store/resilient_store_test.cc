// Guards against calls that hang, retries that multiply the load on a failing
// store, and writes that are repeated although they may have taken effect.
#include "sapphirestream/store/resilient_store.h"

#include <boost/test/unit_test.hpp>

#include "testing/fake_store.h"

namespace sapphirestream {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;
using testing::LostWrite;

struct Fixture {
  testing::VirtualTime time;
  testing::FakeStore inner{time};
  SeededRandom random{1};
  CounterSet counters;
  ResilientStore store{inner, time, time, random, counters, {}};

  ErrorKind Get(Duration span = seconds(10)) {
    ErrorKind out = ErrorKind::kInternal;
    store.Get("a", seconds(2), [&](const StoreResult<StoredObject>& result) {
      out = result.error;
    });
    time.RunFor(span);
    return out;
  }
  ErrorKind Put() {
    ErrorKind out = ErrorKind::kInternal;
    store.Put(
        "a", kMustNotExist, "v", seconds(2),
        [&](const StoreResult<ObjectVersion>& result) { out = result.error; });
    time.RunFor(seconds(10));
    return out;
  }
};

// Never responds to a call.
class UnresponsiveStore final : public ObjectStore {
 public:
  void Get(const std::string&, Duration, GetCallback) override {}
  void Watch(const std::string&, ObjectVersion, Duration,
             GetCallback) override {}
  void Put(const std::string&, ObjectVersion, std::string, Duration,
           PutCallback) override {}
  void ListInstances(Duration, ListCallback) override {}
};

BOOST_AUTO_TEST_SUITE(resilient_store)

BOOST_AUTO_TEST_CASE(a_short_outage_is_bridged_by_retries) {
  Fixture f;
  f.inner.Overwrite("a", "v");
  f.inner.set_outage(true);
  f.time.After(milliseconds(15), [&] { f.inner.set_outage(false); });
  BOOST_TEST((f.Get() == ErrorKind::kNone));
  BOOST_TEST(f.inner.calls().gets >= 2U);
}

// A repeated write could be applied twice; the caller must resolve it instead.
BOOST_AUTO_TEST_CASE(a_write_with_an_unknown_outcome_is_not_repeated) {
  Fixture f;
  f.inner.LoseNextResponse("a", LostWrite::kTakesEffect);
  BOOST_TEST((f.Put() == ErrorKind::kOutcomeUnknown));
  BOOST_TEST(f.inner.calls().puts == 1U);
}

BOOST_AUTO_TEST_CASE(every_call_ends_although_the_store_never_answers) {
  testing::VirtualTime time;
  UnresponsiveStore unresponsive;
  SeededRandom random(1);
  CounterSet counters;
  ResilientStore store(unresponsive, time, time, random, counters, {});
  std::vector<ErrorKind> errors;
  const auto record = [&](const auto& result) {
    errors.push_back(result.error);
  };
  store.Get("a", milliseconds(100), record);
  store.Put("a", kMustNotExist, "", milliseconds(200), record);
  store.Watch("a", kMustNotExist, milliseconds(300), record);
  store.ListInstances(milliseconds(400), record);
  time.RunFor(seconds(10));
  BOOST_TEST((errors == std::vector<ErrorKind>{ErrorKind::kTimedOut,
                                               ErrorKind::kOutcomeUnknown,
                                               ErrorKind::kStoreUnavailable,
                                               ErrorKind::kTimedOut}));
}

// During an outage, 400 calls must not all reach the store, let alone with
// retries.
BOOST_AUTO_TEST_CASE(the_breaker_keeps_calls_from_a_failing_store) {
  Fixture f;
  f.inner.Overwrite("a", "v");
  f.inner.set_outage(true);
  for (int i = 0; i < 400; ++i) {
    BOOST_TEST((f.Get(milliseconds(100)) != ErrorKind::kNone));
  }
  // One probe per 2 s for 40 s, and the calls until the breaker opened.
  BOOST_TEST(f.inner.calls().gets <= 40U);
  f.inner.set_outage(false);
  f.time.RunFor(seconds(2));
  BOOST_TEST((f.Get() == ErrorKind::kNone));
  BOOST_TEST((f.store.breaker_state() == BreakerState::kClosed));
}

BOOST_AUTO_TEST_CASE(retries_are_limited_to_a_share_of_first_tries) {
  RetryBudget budget({200, 2});
  BOOST_TEST(budget.TryAcquire());
  BOOST_TEST(budget.TryAcquire());
  int retries = 0;
  for (int i = 0; i < 1000; ++i) {
    budget.OnCall();
    while (budget.TryAcquire()) ++retries;
  }
  BOOST_TEST(retries == 200);
}

// Without jitter, clients that failed together would retry together.
BOOST_AUTO_TEST_CASE(backoff_doubles_its_ceiling_and_spreads_below_it) {
  SeededRandom random(1);
  double sum = 0;
  for (int i = 0; i < 1000; ++i) {
    Backoff backoff({milliseconds(10), milliseconds(40)});
    for (const int ceiling : {10, 20, 40, 40}) {
      const Duration delay = backoff.Next(random);
      BOOST_TEST_REQUIRE((delay >= Duration::zero()));
      BOOST_TEST_REQUIRE((delay < milliseconds(ceiling)));
      sum += static_cast<double>(delay.count()) / 1e6 / ceiling;
    }
  }
  BOOST_TEST(sum / 4000 > 0.45);
  BOOST_TEST(sum / 4000 < 0.55);
}

// Covers each row of the table in docs/lifecycles.md.
BOOST_AUTO_TEST_CASE(the_breaker_follows_its_transition_table) {
  using enum BreakerState;
  CircuitBreaker breaker({2, milliseconds(500), seconds(2)});
  TimePoint now{seconds(1000)};
  const auto fail = [&] { breaker.OnFailure(now); };
  fail();
  breaker.OnSuccess(now);
  fail();
  BOOST_TEST((breaker.state() == kClosed));
  fail();
  BOOST_TEST((breaker.state() == kOpen));
  breaker.OnSuccess(now);
  BOOST_TEST((breaker.state() == kOpen));
  now += milliseconds(499);
  BOOST_TEST(!breaker.Allow(now));
  now += milliseconds(1);
  BOOST_TEST(breaker.Allow(now));
  BOOST_TEST((breaker.state() == kHalfOpen));
  BOOST_TEST(!breaker.Allow(now));
  // A probe whose outcome is never reported must not block the breaker.
  now += milliseconds(500);
  BOOST_TEST(breaker.Allow(now));
  fail();
  BOOST_TEST((breaker.state() == kOpen));
  now += milliseconds(999);
  BOOST_TEST(!breaker.Allow(now));
  now += milliseconds(1);
  BOOST_TEST(breaker.Allow(now));
  breaker.OnSuccess(now);
  BOOST_TEST((breaker.state() == kClosed));
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace sapphirestream
