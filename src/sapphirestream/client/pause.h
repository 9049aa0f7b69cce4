// Waiting, injected so that tests do not sleep.
#ifndef SAPPHIRESTREAM_CLIENT_PAUSE_H_
#define SAPPHIRESTREAM_CLIENT_PAUSE_H_

#include "sapphirestream/base/clock.h"

namespace sapphirestream {

class Pause {
 public:
  virtual ~Pause() = default;
  [[nodiscard]] virtual TimePoint Now() const noexcept = 0;
  virtual void Sleep(Duration time) = 0;
};

}  // namespace sapphirestream

#endif  // SAPPHIRESTREAM_CLIENT_PAUSE_H_
