// Interface to the one-shot timers of the control thread; tests implement it in
// virtual time.
#ifndef SAPPHIRESTREAM_STORE_TIMER_H_
#define SAPPHIRESTREAM_STORE_TIMER_H_

#include <cstdint>
#include <functional>

#include "sapphirestream/base/clock.h"

namespace sapphirestream {

enum class TimerId : std::uint64_t {};
inline constexpr TimerId kNoTimer{0};

class Timer {
 public:
  virtual ~Timer() = default;
  // Calls `action` once after `delay`, never from within this function.
  virtual TimerId After(Duration delay, std::function<void()> action) = 0;
  // Cancels a pending timer. Ignores kNoTimer and timers that have fired.
  virtual void Cancel(TimerId id) noexcept = 0;
};

}  // namespace sapphirestream

#endif  // SAPPHIRESTREAM_STORE_TIMER_H_
