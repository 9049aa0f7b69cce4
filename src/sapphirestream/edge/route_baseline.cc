#include "sapphirestream/edge/route_baseline.h"

#include <algorithm>

namespace sapphirestream {

RequestVerdict RouteBaseline::Observe(Duration took, std::uint32_t answer_bytes,
                                      TimePoint now) {
  last_used_ = now;
  if (answer_bytes == 0 || classifier_.IsFailure(answer_bytes, took)) {
    return {.failed = true};
  }
  double time = std::max(1.0, static_cast<double>(took.count()));
  if (answers_ > 0) time = std::min(time, time_ * kMaxRelativeTime);
  answers_ = std::min(answers_ + 1, kWindow);
  time_ += (time - time_) / answers_;
  return {.relative_time = answers_ > kMinAnswers ? time / time_ : 1.0};
}

}  // namespace sapphirestream
