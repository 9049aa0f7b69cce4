// Token bucket that limits retries to a fraction of the calls, so that retries
// cannot multiply the load on a store that is already failing.
#ifndef SAPPHIRESTREAM_STORE_RETRY_BUDGET_H_
#define SAPPHIRESTREAM_STORE_RETRY_BUDGET_H_

#include <algorithm>
#include <cstdint>

namespace sapphirestream {

struct RetryBudgetOptions {
  // Retries earned by each call, in thousandths.
  std::uint32_t permille = 200;
  // Maximum number of saved retries, and the initial budget.
  std::uint32_t burst = 10;
};

class RetryBudget {
 public:
  explicit RetryBudget(const RetryBudgetOptions& options)
      : options_(options),
        milli_tokens_(options.burst * kMilliTokensPerRetry) {}

  void OnCall() noexcept {
    milli_tokens_ = std::min(options_.burst * kMilliTokensPerRetry,
                             milli_tokens_ + options_.permille);
  }
  // Takes a token; returns false if none is left.
  [[nodiscard]] bool TryAcquire() noexcept {
    if (milli_tokens_ < kMilliTokensPerRetry) return false;
    milli_tokens_ -= kMilliTokensPerRetry;
    return true;
  }

 private:
  static constexpr std::uint64_t kMilliTokensPerRetry = 1000;
  RetryBudgetOptions options_;
  std::uint64_t milli_tokens_;
};

}  // namespace sapphirestream

#endif  // SAPPHIRESTREAM_STORE_RETRY_BUDGET_H_
