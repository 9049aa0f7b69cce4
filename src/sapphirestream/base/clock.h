// Time types and the clock interface. The decision library never reads a clock;
// the caller passes the time with every event.
#ifndef SAPPHIRESTREAM_BASE_CLOCK_H_
#define SAPPHIRESTREAM_BASE_CLOCK_H_

#include <chrono>

namespace sapphirestream {

using Duration = std::chrono::nanoseconds;
// Monotonic time with an arbitrary origin.
using TimePoint = std::chrono::time_point<std::chrono::steady_clock, Duration>;
// Time of day, only for announcements and logs.
using WallTime = std::chrono::sys_time<std::chrono::milliseconds>;

// Source of time, injected so that tests run in virtual time.
class Clock {
 public:
  virtual ~Clock() = default;
  [[nodiscard]] virtual TimePoint Now() const noexcept = 0;
  [[nodiscard]] virtual WallTime WallNow() const noexcept = 0;
  // Monotonic time that also advances while the machine is suspended. Only
  // differences between two of its values are meaningful.
  [[nodiscard]] virtual TimePoint BootNow() const noexcept { return Now(); }
};

}  // namespace sapphirestream

#endif  // SAPPHIRESTREAM_BASE_CLOCK_H_
