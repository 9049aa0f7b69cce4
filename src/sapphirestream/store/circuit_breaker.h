// Circuit breaker for store calls: rejects calls after repeated failures and
// lets single probe calls through to detect recovery (transition table in
// docs/lifecycles.md, section "Store connection").
#ifndef SAPPHIRESTREAM_STORE_CIRCUIT_BREAKER_H_
#define SAPPHIRESTREAM_STORE_CIRCUIT_BREAKER_H_

#include <cstdint>
#include <memory>
#include <string_view>

#include "sapphirestream/base/clock.h"

namespace sapphirestream {

enum class BreakerState : std::uint8_t {
  kClosed,    // calls are allowed
  kOpen,      // calls are rejected
  kHalfOpen,  // one probe call is allowed; its outcome decides
};

[[nodiscard]] std::string_view Name(BreakerState state) noexcept;

struct CircuitBreakerOptions {
  // Consecutive failures after which the breaker opens.
  std::uint32_t threshold = 5;
  // Time that the breaker stays open. Doubles with each failed probe up to
  // max_open_period, which keeps the recovery time after an outage below the 5
  // s within which a configuration change must take effect.
  Duration open_period = std::chrono::milliseconds(500);
  Duration max_open_period = std::chrono::seconds(2);
};

class CircuitBreaker {
 public:
  explicit CircuitBreaker(const CircuitBreakerOptions& options);
  ~CircuitBreaker();
  CircuitBreaker(CircuitBreaker&&) noexcept;
  CircuitBreaker& operator=(CircuitBreaker&&) noexcept;

  // Returns whether a call may be made now. In half-open state, the call that
  // was allowed is the probe. If its outcome is never reported, another probe
  // is allowed after the open period.
  [[nodiscard]] bool Allow(TimePoint now);
  void OnSuccess(TimePoint now);
  void OnFailure(TimePoint now);
  [[nodiscard]] BreakerState state() const noexcept;

 private:
  class Machine;
  std::unique_ptr<Machine> machine_;
};

}  // namespace sapphirestream

#endif  // SAPPHIRESTREAM_STORE_CIRCUIT_BREAKER_H_
