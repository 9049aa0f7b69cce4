// Clock that reads the clocks of the operating system.
#ifndef SAPPHIRESTREAM_BASE_SYSTEM_CLOCK_H_
#define SAPPHIRESTREAM_BASE_SYSTEM_CLOCK_H_

#include "sapphirestream/base/clock.h"

namespace sapphirestream {

class SystemClock final : public Clock {
 public:
  [[nodiscard]] TimePoint Now() const noexcept override {
    return std::chrono::steady_clock::now();
  }
  [[nodiscard]] WallTime WallNow() const noexcept override {
    return std::chrono::time_point_cast<std::chrono::milliseconds>(
        std::chrono::system_clock::now());
  }
};

}  // namespace sapphirestream

#endif  // SAPPHIRESTREAM_BASE_SYSTEM_CLOCK_H_
