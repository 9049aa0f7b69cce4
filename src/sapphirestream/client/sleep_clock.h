// Clock and sleep, injected so that tests do not wait.
#ifndef SAPPHIRESTREAM_CLIENT_SLEEP_CLOCK_H_
#define SAPPHIRESTREAM_CLIENT_SLEEP_CLOCK_H_

#include "sapphirestream/base/clock.h"

namespace sapphirestream {

class SleepClock {
 public:
  virtual ~SleepClock() = default;
  [[nodiscard]] virtual TimePoint Now() const noexcept = 0;
  virtual void Sleep(Duration time) = 0;
};

}  // namespace sapphirestream

#endif  // SAPPHIRESTREAM_CLIENT_SLEEP_CLOCK_H_
