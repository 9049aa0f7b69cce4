// Each call is an object that is shared by the callbacks of its attempts.
#include "sapphirestream/store/resilient_store.h"

#include <algorithm>
#include <functional>
#include <utility>

namespace sapphirestream {

// State shared by all calls; `alive` is cleared when the store is destroyed.
struct ResilientStore::Shared {
  ObjectStore& inner;
  Timer& timer;
  const Clock& clock;
  Random& random;
  ResilientStoreOptions options;
  RetryBudget budget;
  CircuitBreaker breaker;
  Counter& calls;
  Counter& retries;
  Counter& failures;
  Counter& blocked;
  Counter& breaker_state;
  bool alive = true;

  void Report(bool success) {
    const TimePoint now = clock.Now();
    if (success) {
      breaker.OnSuccess(now);
    } else {
      failures.Add();
      breaker.OnFailure(now);
    }
    breaker_state.Set(static_cast<std::uint64_t>(breaker.state()));
  }
};

template <typename T>
class ResilientStore::Call : public std::enable_shared_from_this<Call<T>> {
 public:
  using Done = std::function<void(StoreResult<T>)>;
  using Attempt = std::function<void(ObjectStore&, Duration, Done)>;
  struct Policy {
    // Time limit of one attempt.
    Duration attempt_timeout;
    // Error reported if an attempt gets no response.
    ErrorKind timeout_error = ErrorKind::kTimedOut;
    // Whether kTimedOut shows that the store is available, as it does for a
    // watch.
    bool timeout_is_success = false;
    bool retry_any_failure = true;
    bool retry = true;
  };

  Call(std::shared_ptr<Shared> shared, const Policy& policy, Duration deadline,
       Attempt start_attempt, Done done)
      : shared_(std::move(shared)),
        policy_(policy),
        deadline_(shared_->clock.Now() + deadline),
        start_attempt_(std::move(start_attempt)),
        done_(std::move(done)),
        backoff_(shared_->options.backoff) {}

  void Start() {
    shared_->calls.Add();
    shared_->budget.OnCall();
    BeginAttempt();
  }

 private:
  void BeginAttempt() {
    if (!shared_->alive) return;
    if (!shared_->breaker.Allow(shared_->clock.Now())) {
      shared_->blocked.Add();
      // Deferred, since callers do not expect the callback to run within the
      // call.
      AfterDelay(Duration::zero(), [](Call& call) {
        call.Finish({ErrorKind::kStoreUnavailable, {}});
      });
      return;
    }
    const Duration timeout =
        std::min(policy_.attempt_timeout, deadline_ - shared_->clock.Now());
    const std::uint64_t number = ++attempt_;
    attempt_timer_ =
        AfterDelay(timeout + shared_->options.grace, [number](Call& call) {
          call.OnResult(number, {call.policy_.timeout_error, {}}, true);
        });
    start_attempt_(
        shared_->inner, timeout,
        [self = this->shared_from_this(), number](StoreResult<T> result) {
          self->OnResult(number, std::move(result), false);
        });
  }

  template <typename Action>
  TimerId AfterDelay(Duration delay, Action action) {
    return shared_->timer.After(delay,
                                [self = this->shared_from_this(), action] {
                                  if (self->shared_->alive) action(*self);
                                });
  }

  // Ignores results of abandoned attempts.
  void OnResult(std::uint64_t number, StoreResult<T> result, bool timed_out) {
    if (!shared_->alive || number != attempt_ || !done_) return;
    shared_->timer.Cancel(attempt_timer_);
    const bool success = IsSuccess(result.error) && !timed_out;
    shared_->Report(success);
    if (success || !MayRetry(result.error)) {
      Finish(std::move(result));
      return;
    }
    const Duration delay = backoff_.Next(shared_->random);
    if (shared_->clock.Now() + delay >= deadline_ ||
        !shared_->budget.TryAcquire()) {
      Finish(std::move(result));
      return;
    }
    ++attempt_;
    shared_->retries.Add();
    AfterDelay(delay, [](Call& call) { call.BeginAttempt(); });
  }

  [[nodiscard]] bool IsSuccess(ErrorKind error) const {
    if (error == ErrorKind::kTimedOut) return policy_.timeout_is_success;
    return error != ErrorKind::kStoreUnavailable &&
           error != ErrorKind::kOutcomeUnknown;
  }

  [[nodiscard]] bool MayRetry(ErrorKind error) const {
    return policy_.retry &&
           (policy_.retry_any_failure || error == ErrorKind::kStoreUnavailable);
  }

  void Finish(StoreResult<T> result) {
    const Done done = std::exchange(done_, nullptr);
    done(std::move(result));
  }

  std::shared_ptr<Shared> shared_;
  Policy policy_;
  TimePoint deadline_;
  Attempt start_attempt_;
  Done done_;
  Backoff backoff_;
  std::uint64_t attempt_ = 0;
  TimerId attempt_timer_ = kNoTimer;
};

ResilientStore::ResilientStore(ObjectStore& inner, Timer& timer,
                               const Clock& clock, Random& random,
                               CounterSet& counters,
                               const ResilientStoreOptions& options)
    : shared_(std::make_shared<Shared>(
          Shared{inner, timer, clock, random, options,
                 RetryBudget(options.budget), CircuitBreaker(options.breaker),
                 counters.Emplace("store_calls_total"),
                 counters.Emplace("store_retries_total"),
                 counters.Emplace("store_failures_total"),
                 counters.Emplace("store_blocked_total"),
                 counters.Emplace("store_breaker_state")})) {}

ResilientStore::~ResilientStore() { shared_->alive = false; }

void ResilientStore::Get(const std::string& name, Duration deadline,
                         GetCallback done) {
  Call<StoredObject>::Policy policy;
  policy.attempt_timeout = shared_->options.read_attempt_timeout;
  std::make_shared<Call<StoredObject>>(
      shared_, policy, deadline,
      [name](ObjectStore& inner, Duration timeout, GetCallback callback) {
        inner.Get(name, timeout, std::move(callback));
      },
      std::move(done))
      ->Start();
}

void ResilientStore::Watch(const std::string& name, ObjectVersion known,
                           Duration deadline, GetCallback done) {
  Call<StoredObject>::Policy policy;
  policy.attempt_timeout = deadline;
  policy.timeout_error = ErrorKind::kStoreUnavailable;
  policy.timeout_is_success = true;
  policy.retry = false;
  std::make_shared<Call<StoredObject>>(
      shared_, policy, deadline,
      [name, known](ObjectStore& inner, Duration timeout,
                    GetCallback callback) {
        inner.Watch(name, known, timeout, std::move(callback));
      },
      std::move(done))
      ->Start();
}

void ResilientStore::Put(const std::string& name, ObjectVersion expected,
                         std::string value, Duration deadline,
                         PutCallback done) {
  Call<ObjectVersion>::Policy policy;
  policy.attempt_timeout = deadline;
  policy.timeout_error = ErrorKind::kOutcomeUnknown;
  policy.retry_any_failure = false;
  std::make_shared<Call<ObjectVersion>>(
      shared_, policy, deadline,
      [name, expected, value = std::move(value)](
          ObjectStore& inner, Duration timeout, PutCallback callback) {
        inner.Put(name, expected, value, timeout, std::move(callback));
      },
      std::move(done))
      ->Start();
}

void ResilientStore::ListInstances(Duration deadline, ListCallback done) {
  Call<std::vector<ListedInstance>>::Policy policy;
  policy.attempt_timeout = shared_->options.read_attempt_timeout;
  std::make_shared<Call<std::vector<ListedInstance>>>(
      shared_, policy, deadline,
      [](ObjectStore& inner, Duration timeout, ListCallback callback) {
        inner.ListInstances(timeout, std::move(callback));
      },
      std::move(done))
      ->Start();
}

BreakerState ResilientStore::breaker_state() const noexcept {
  return shared_->breaker.state();
}

}  // namespace sapphirestream
