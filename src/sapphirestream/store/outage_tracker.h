// Tells whether the store is available to one reader, and paces repeated calls.
#ifndef SAPPHIRESTREAM_STORE_OUTAGE_TRACKER_H_
#define SAPPHIRESTREAM_STORE_OUTAGE_TRACKER_H_

#include <algorithm>
#include <optional>
#include <utility>

#include "sapphirestream/base/clock.h"
#include "sapphirestream/base/error.h"
#include "sapphirestream/base/random.h"
#include "sapphirestream/store/backoff.h"

namespace sapphirestream {

class OutageTracker {
 public:
  // `deadline` of a call doubles after each one that exceeds it, up to
  // `max_deadline`.
  OutageTracker(const BackoffOptions& backoff, Duration deadline,
                Duration max_deadline)
      : backoff_(backoff),
        deadline_(deadline),
        max_deadline_(max_deadline),
        call_deadline_(deadline) {}

  // Returns whether an outage begins with this failure; the store may have been
  // away since `away_since`. A store that rejects calls because of their rate
  // is available.
  [[nodiscard]] bool OnFailure(ErrorKind error, TimePoint away_since) {
    if (error == ErrorKind::kTimedOut) {
      call_deadline_ = std::min(2 * call_deadline_, max_deadline_);
    }
    if (error == ErrorKind::kRateLimited || began_) return false;
    began_ = away_since;
    return true;
  }
  // Returns the length of the outage that ends, if there was one.
  [[nodiscard]] std::optional<Duration> OnSuccess(TimePoint now) {
    backoff_.Reset();
    call_deadline_ = deadline_;
    if (!began_) return std::nullopt;
    return now - *std::exchange(began_, std::nullopt);
  }
  // Returns the delay before the next attempt.
  [[nodiscard]] Duration NextDelay(Random& random) {
    return backoff_.Next(random);
  }
  void SetBackoff(const BackoffOptions& backoff) {
    backoff_ = Backoff{backoff};
  }

  [[nodiscard]] bool is_away() const noexcept { return began_.has_value(); }
  [[nodiscard]] Duration call_deadline() const noexcept {
    return call_deadline_;
  }

 private:
  Backoff backoff_;
  Duration deadline_;
  Duration max_deadline_;
  Duration call_deadline_;
  // Start of the current outage.
  std::optional<TimePoint> began_;
};

}  // namespace sapphirestream

#endif  // SAPPHIRESTREAM_STORE_OUTAGE_TRACKER_H_
