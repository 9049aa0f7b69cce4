// Limits the traffic of introductions.
#ifndef SAPPHIRESTREAM_EDGE_INTRODUCTION_BUDGET_H_
#define SAPPHIRESTREAM_EDGE_INTRODUCTION_BUDGET_H_

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <utility>

#include "sapphirestream/base/clock.h"

namespace sapphirestream {

// A token bucket for what is sent, so that many instances can start at the same
// time. What is received is not charged: otherwise a seed that many instances
// ask would stop answering, and they would go on asking.
class IntroductionBudget {
 public:
  // Bytes per second. With answers of four addresses, three seeds introduce 170
  // instances per second.
  static constexpr std::int64_t kRate = 4'000;
  // When many instances start at the same time: 28 full answers and 58 short
  // ones.
  static constexpr std::int64_t kBurst = 8'000;
  static constexpr Duration kPeriod = std::chrono::milliseconds(400);

  void OnReceived(std::size_t bytes) noexcept { current_ += bytes; }
  void OnSent(std::size_t bytes) noexcept {
    tokens_ -= static_cast<std::int64_t>(bytes);
    current_ += bytes;
  }
  void Advance(TimePoint now) noexcept {
    if (now < period_end_) return;
    tokens_ = std::min(
        kBurst, tokens_ + kRate * kPeriod.count() / Duration::period::den);
    previous_ = std::exchange(current_, 0);
    period_end_ = now + kPeriod;
  }

  // Whether further introductions may be sent or answered.
  [[nodiscard]] bool is_available() const noexcept { return tokens_ > 0; }
  // Whether answers should be short, so that more instances get one.
  [[nodiscard]] bool is_short() const noexcept { return tokens_ < kBurst / 2; }
  // Bytes sent and received in this period or the one before, whichever is
  // more.
  [[nodiscard]] std::size_t used() const noexcept {
    return std::max(previous_, current_);
  }

 private:
  std::int64_t tokens_ = kBurst;
  std::size_t current_ = 0;
  std::size_t previous_ = 0;
  TimePoint period_end_{};
};

}  // namespace sapphirestream

#endif  // SAPPHIRESTREAM_EDGE_INTRODUCTION_BUDGET_H_
