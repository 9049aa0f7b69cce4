// Decides when an instance that was asked to stop has forwarded its last
// packet.
#ifndef SAPPHIRESTREAM_EDGE_DRAIN_TIMER_H_
#define SAPPHIRESTREAM_EDGE_DRAIN_TIMER_H_

#include <optional>

#include "sapphirestream/base/clock.h"

namespace sapphirestream {

class DrainTimer {
 public:
  // The fabric stops sending packets here after two failed readiness checks
  // that are half a second apart.
  static constexpr Duration kMinDrainTime = std::chrono::milliseconds(1500);
  // If no packet arrives for this time, the fabric sends them to other
  // instances.
  static constexpr Duration kIdleTime = std::chrono::milliseconds(700);
  // Part of the grace period that is reserved for the shutdown of the process.
  static constexpr Duration kShutdownReserve = std::chrono::milliseconds(500);

  // Only the first request counts: the process is killed when the grace period
  // that began with it is over.
  void OnStopRequested(TimePoint now) noexcept {
    if (!requested_at_) requested_at_ = now;
  }
  void OnPacket(TimePoint now) noexcept { last_packet_ = now; }

  // `grace` is the time between the stop request and the kill of the process.
  [[nodiscard]] bool IsOver(TimePoint now, Duration grace) const noexcept {
    if (!requested_at_) return false;
    const Duration leaving = now - *requested_at_;
    const bool is_drained =
        leaving >= kMinDrainTime && now - last_packet_ >= kIdleTime;
    return is_drained || leaving >= grace - kShutdownReserve;
  }

 private:
  std::optional<TimePoint> requested_at_;
  TimePoint last_packet_{};
};

}  // namespace sapphirestream

#endif  // SAPPHIRESTREAM_EDGE_DRAIN_TIMER_H_
