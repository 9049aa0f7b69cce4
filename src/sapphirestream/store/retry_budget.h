// Token bucket that limits retries to a share of first tries, so that retries
// cannot multiply the load on a store that is already failing.
#ifndef SAPPHIRESTREAM_STORE_RETRY_BUDGET_H_
#define SAPPHIRESTREAM_STORE_RETRY_BUDGET_H_

#include <algorithm>
#include <cstdint>

namespace sapphirestream {

struct RetryBudgetOptions {
  // Retries earned by each first try, in thousandths.
  std::uint32_t permille = 200;
  // Retries that may be saved up; also the budget at start.
  std::uint32_t burst = 10;
};

class RetryBudget {
 public:
  explicit RetryBudget(const RetryBudgetOptions& options)
      : options_(options), milli_tokens_(options.burst * kMilli) {}

  void OnFirstTry() noexcept {
    milli_tokens_ =
        std::min(options_.burst * kMilli, milli_tokens_ + options_.permille);
  }
  // Takes a token; returns false if none is left.
  [[nodiscard]] bool TryRetry() noexcept {
    if (milli_tokens_ < kMilli) return false;
    milli_tokens_ -= kMilli;
    return true;
  }

 private:
  static constexpr std::uint64_t kMilli = 1000;
  RetryBudgetOptions options_;
  std::uint64_t milli_tokens_;
};

}  // namespace sapphirestream

#endif  // SAPPHIRESTREAM_STORE_RETRY_BUDGET_H_
