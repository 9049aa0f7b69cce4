// Detects that the process did not run for some time: it was stopped, the
// machine was suspended, or the processor was not available.
#ifndef SAPPHIRESTREAM_EDGE_SUSPEND_DETECTOR_H_
#define SAPPHIRESTREAM_EDGE_SUSPEND_DETECTOR_H_

#include <optional>

#include "sapphirestream/base/clock.h"

namespace sapphirestream {

class SuspendDetector {
 public:
  // Shorter pauses make a view no older than a slow reply of the store does.
  static constexpr Duration kThreshold = std::chrono::seconds(1);

  // `period` is the longest time between two calls of Check while the process
  // is running. `now` is Clock::BootNow: the steady clock does not advance
  // while a machine is suspended.
  SuspendDetector(Duration period, TimePoint now)
      : period_(period), last_check_(now) {}

  // Must be called before acting on an event. Returns the length of the pause
  // if the process was paused since the last call.
  [[nodiscard]] std::optional<Duration> Check(TimePoint now) noexcept {
    const Duration pause = now - last_check_ - period_;
    last_check_ = now;
    if (pause < kThreshold) return std::nullopt;
    return pause;
  }

 private:
  Duration period_;
  TimePoint last_check_;
};

}  // namespace sapphirestream

#endif  // SAPPHIRESTREAM_EDGE_SUSPEND_DETECTOR_H_
