// ObjectStore decorator that adds deadlines, retries within a budget and a
// circuit breaker.
#ifndef SAPPHIRESTREAM_STORE_RESILIENT_STORE_H_
#define SAPPHIRESTREAM_STORE_RESILIENT_STORE_H_

#include <memory>
#include <string>

#include "sapphirestream/base/clock.h"
#include "sapphirestream/base/counter.h"
#include "sapphirestream/base/random.h"
#include "sapphirestream/store/backoff.h"
#include "sapphirestream/store/circuit_breaker.h"
#include "sapphirestream/store/object_store.h"
#include "sapphirestream/store/retry_budget.h"
#include "sapphirestream/store/timer.h"

namespace sapphirestream {

struct ResilientStoreOptions {
  // Time limit of one read attempt, which leaves time for another attempt if
  // the first one hangs.
  Duration read_attempt_timeout = std::chrono::milliseconds(800);
  // Time after the deadline of an attempt within which the inner store must
  // respond.
  Duration grace = std::chrono::milliseconds(600);
  RetryBudgetOptions budget;
  BackoffOptions backoff;
  CircuitBreakerOptions breaker;
};

// Every call completes exactly once, at most `grace` after its deadline, even
// if the inner store never responds. Reads are retried after any failure.
// Writes are retried only if the store reports that nothing was written; the
// caller must resolve a write with an unknown outcome. Watches are not retried.
// While the breaker is open, calls fail with kStoreUnavailable.
class ResilientStore final : public ObjectStore {
 public:
  // The references must outlive the store.
  ResilientStore(ObjectStore& inner, Timer& timer, const Clock& clock,
                 Random& random, CounterSet& counters,
                 const ResilientStoreOptions& options);
  // Drops pending calls without invoking their callbacks.
  ~ResilientStore() override;
  ResilientStore(const ResilientStore&) = delete;
  ResilientStore& operator=(const ResilientStore&) = delete;

  void Get(const std::string& name, Duration deadline,
           GetCallback done) override;
  void Watch(const std::string& name, ObjectVersion known, Duration deadline,
             GetCallback done) override;
  void Put(const std::string& name, ObjectVersion expected, std::string value,
           Duration deadline, PutCallback done) override;
  void ListInstances(Duration deadline, ListCallback done) override;

  [[nodiscard]] BreakerState breaker_state() const noexcept;

 private:
  struct Shared;
  template <typename T>
  class Call;

  std::shared_ptr<Shared> shared_;
};

}  // namespace sapphirestream

#endif  // SAPPHIRESTREAM_STORE_RESILIENT_STORE_H_
