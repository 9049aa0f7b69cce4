// Conversions of durations.
#ifndef SAPPHIRESTREAM_BASE_DURATION_H_
#define SAPPHIRESTREAM_BASE_DURATION_H_

#include <chrono>
#include <cstdint>

#include "sapphirestream/base/clock.h"

namespace sapphirestream {

[[nodiscard]] constexpr double Seconds(Duration duration) noexcept {
  return std::chrono::duration<double>(duration).count();
}

// Rounds towards zero.
[[nodiscard]] constexpr std::int64_t Milliseconds(Duration duration) noexcept {
  return std::chrono::duration_cast<std::chrono::milliseconds>(duration)
      .count();
}

// Returns `duration` times `factor`, rounded towards zero.
[[nodiscard]] constexpr Duration Scale(Duration duration,
                                       double factor) noexcept {
  return Duration(static_cast<Duration::rep>(
      factor * static_cast<double>(duration.count())));
}

}  // namespace sapphirestream

#endif  // SAPPHIRESTREAM_BASE_DURATION_H_
