// Clock that reads the clocks of the operating system.
#ifndef SAPPHIRESTREAM_BASE_SYSTEM_CLOCK_H_
#define SAPPHIRESTREAM_BASE_SYSTEM_CLOCK_H_

#include <ctime>

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
  [[nodiscard]] TimePoint BootNow() const noexcept override {
    std::timespec now{};
    if (::clock_gettime(CLOCK_BOOTTIME, &now) != 0) return Now();
    return TimePoint(std::chrono::seconds(now.tv_sec) +
                     std::chrono::nanoseconds(now.tv_nsec));
  }
};

}  // namespace sapphirestream

#endif  // SAPPHIRESTREAM_BASE_SYSTEM_CLOCK_H_
