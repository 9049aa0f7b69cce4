// Token bucket that limits the rate of retries, redirects and resets.
#ifndef SAPPHIRESTREAM_FLOW_TOKEN_BUCKET_H_
#define SAPPHIRESTREAM_FLOW_TOKEN_BUCKET_H_

#include <algorithm>

#include "sapphirestream/base/clock.h"

namespace sapphirestream {

class TokenBucket {
 public:
  // `rate` is in tokens per second, `burst` in tokens.
  TokenBucket(double rate, double burst)
      : rate_(rate), burst_(burst), tokens_(burst) {}

  // Takes one token; returns false if none is left.
  [[nodiscard]] bool Take(TimePoint now) noexcept {
    if (last_ != TimePoint{}) {
      const std::chrono::duration<double> elapsed = now - last_;
      tokens_ = std::min(burst_, tokens_ + rate_ * elapsed.count());
    }
    last_ = now;
    if (tokens_ < 1) return false;
    tokens_ -= 1;
    return true;
  }

 private:
  double rate_;
  double burst_;
  double tokens_;
  TimePoint last_;
};

}  // namespace sapphirestream

#endif  // SAPPHIRESTREAM_FLOW_TOKEN_BUCKET_H_
