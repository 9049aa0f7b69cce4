// Clock that advances only when the test requests it.
#ifndef SAPPHIRESTREAM_TESTING_MANUAL_CLOCK_H_
#define SAPPHIRESTREAM_TESTING_MANUAL_CLOCK_H_

#include "sapphirestream/base/clock.h"

namespace sapphirestream::testing {

class ManualClock final : public Clock {
 public:
  [[nodiscard]] TimePoint Now() const noexcept override { return now_; }
  [[nodiscard]] WallTime WallNow() const noexcept override {
    return WallTime(std::chrono::duration_cast<std::chrono::milliseconds>(
        now_.time_since_epoch()));
  }
  void Advance(Duration by) noexcept { now_ += by; }

 private:
  // Does not start at zero, since zero often means "never".
  TimePoint now_{std::chrono::seconds(1000)};
};

}  // namespace sapphirestream::testing

#endif  // SAPPHIRESTREAM_TESTING_MANUAL_CLOCK_H_
