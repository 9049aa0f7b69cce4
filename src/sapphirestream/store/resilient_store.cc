// Each call is an object that outlives its tries.
#include "sapphirestream/store/resilient_store.h"

#include <algorithm>
#include <functional>
#include <utility>

namespace sapphirestream {

// State that calls share; `alive` ends with the store.
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
  using Done = std::function<void(StoreAnswer<T>)>;
  using Try = std::function<void(ObjectStore&, Duration, Done)>;
  struct Policy {
    // Longest time of one try.
    Duration try_limit;
    // What the caller gets when a try stays unanswered.
    ErrorKind on_silence = ErrorKind::kTimedOut;
    // Whether kTimedOut tells that the store works, as it does for a watch.
    bool timeout_is_success = false;
    bool retry_any_failure = true;
    bool retry = true;
  };

  Call(std::shared_ptr<Shared> shared, const Policy& policy, Duration deadline,
       Try make_try, Done done)
      : shared_(std::move(shared)),
        policy_(policy),
        end_(shared_->clock.Now() + deadline),
        make_try_(std::move(make_try)),
        done_(std::move(done)),
        backoff_(shared_->options.backoff) {}

  void Start() {
    shared_->calls.Add();
    shared_->budget.OnFirstTry();
    BeginTry();
  }

 private:
  void BeginTry() {
    if (!shared_->alive) return;
    if (!shared_->breaker.Allow(shared_->clock.Now())) {
      shared_->blocked.Add();
      // Later, since callers do not expect an answer from within the call.
      AfterDelay(Duration::zero(), [](Call& call) {
        call.Finish({ErrorKind::kStoreUnavailable, {}});
      });
      return;
    }
    const Duration limit =
        std::min(policy_.try_limit, end_ - shared_->clock.Now());
    const std::uint64_t number = ++try_;
    guard_ = AfterDelay(limit + shared_->options.grace, [number](Call& call) {
      call.OnAnswer(number, {call.policy_.on_silence, {}}, true);
    });
    make_try_(shared_->inner, limit,
              [self = this->shared_from_this(), number](StoreAnswer<T> answer) {
                self->OnAnswer(number, std::move(answer), false);
              });
  }

  template <typename Action>
  TimerId AfterDelay(Duration delay, Action action) {
    return shared_->timer.After(delay,
                                [self = this->shared_from_this(), action] {
                                  if (self->shared_->alive) action(*self);
                                });
  }

  // Ignores answers to tries that were given up.
  void OnAnswer(std::uint64_t number, StoreAnswer<T> answer, bool silent) {
    if (!shared_->alive || number != try_ || !done_) return;
    shared_->timer.Cancel(guard_);
    const bool success = IsSuccess(answer.error) && !silent;
    shared_->Report(success);
    if (success || !MayRetry(answer.error)) {
      Finish(std::move(answer));
      return;
    }
    const Duration delay = backoff_.Next(shared_->random);
    if (shared_->clock.Now() + delay >= end_ || !shared_->budget.TryRetry()) {
      Finish(std::move(answer));
      return;
    }
    ++try_;
    shared_->retries.Add();
    AfterDelay(delay, [](Call& call) { call.BeginTry(); });
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

  void Finish(StoreAnswer<T> answer) {
    const Done done = std::exchange(done_, nullptr);
    done(std::move(answer));
  }

  std::shared_ptr<Shared> shared_;
  Policy policy_;
  TimePoint end_;
  Try make_try_;
  Done done_;
  Backoff backoff_;
  std::uint64_t try_ = 0;
  TimerId guard_ = kNoTimer;
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
  policy.try_limit = shared_->options.read_try;
  std::make_shared<Call<StoredObject>>(
      shared_, policy, deadline,
      [name](ObjectStore& inner, Duration limit, GetCallback answer) {
        inner.Get(name, limit, std::move(answer));
      },
      std::move(done))
      ->Start();
}

void ResilientStore::Watch(const std::string& name, ObjectVersion known,
                           Duration deadline, GetCallback done) {
  Call<StoredObject>::Policy policy;
  policy.try_limit = deadline;
  policy.on_silence = ErrorKind::kStoreUnavailable;
  policy.timeout_is_success = true;
  policy.retry = false;
  std::make_shared<Call<StoredObject>>(
      shared_, policy, deadline,
      [name, known](ObjectStore& inner, Duration limit, GetCallback answer) {
        inner.Watch(name, known, limit, std::move(answer));
      },
      std::move(done))
      ->Start();
}

void ResilientStore::Put(const std::string& name, ObjectVersion expected,
                         std::string value, Duration deadline,
                         PutCallback done) {
  Call<ObjectVersion>::Policy policy;
  policy.try_limit = deadline;
  policy.on_silence = ErrorKind::kOutcomeUnknown;
  policy.retry_any_failure = false;
  std::make_shared<Call<ObjectVersion>>(
      shared_, policy, deadline,
      [name, expected, value = std::move(value)](
          ObjectStore& inner, Duration limit, PutCallback answer) {
        inner.Put(name, expected, value, limit, std::move(answer));
      },
      std::move(done))
      ->Start();
}

void ResilientStore::ListInstances(Duration deadline, ListCallback done) {
  Call<std::vector<ListedInstance>>::Policy policy;
  policy.try_limit = shared_->options.read_try;
  std::make_shared<Call<std::vector<ListedInstance>>>(
      shared_, policy, deadline,
      [](ObjectStore& inner, Duration limit, ListCallback answer) {
        inner.ListInstances(limit, std::move(answer));
      },
      std::move(done))
      ->Start();
}

BreakerState ResilientStore::breaker_state() const noexcept {
  return shared_->breaker.state();
}

}  // namespace sapphirestream
