// Exponential backoff with jitter: each delay is uniformly distributed between
// a fraction of a ceiling and the ceiling, which doubles with every attempt, so
// that clients that failed at the same time do not retry at the same time.
#ifndef SAPPHIRESTREAM_STORE_BACKOFF_H_
#define SAPPHIRESTREAM_STORE_BACKOFF_H_

#include <algorithm>

#include "sapphirestream/base/clock.h"
#include "sapphirestream/base/duration.h"
#include "sapphirestream/base/random.h"

namespace sapphirestream {

struct BackoffOptions {
  Duration base = std::chrono::milliseconds(20);
  Duration cap = std::chrono::seconds(2);
  // Shortest delay as a fraction of the ceiling, 0 (full jitter) to 1 (none).
  // A larger fraction makes fewer attempts for the same longest delay.
  double min_fraction = 0;
};

class Backoff {
 public:
  explicit Backoff(const BackoffOptions& options)
      : options_(options), ceiling_(options.base) {}

  // Returns the delay before the next attempt and doubles the ceiling.
  [[nodiscard]] Duration Next(Random& random) {
    const double fraction =
        options_.min_fraction + (1 - options_.min_fraction) * random.Unit();
    const Duration delay = Scale(ceiling_, fraction);
    ceiling_ = std::min(options_.cap, ceiling_ * 2);
    return delay;
  }
  void Reset() noexcept { ceiling_ = options_.base; }

 private:
  BackoffOptions options_;
  Duration ceiling_;
};

}  // namespace sapphirestream

#endif  // SAPPHIRESTREAM_STORE_BACKOFF_H_
