// What is normal on a route: the request time over all of its targets, and the
// answers that do not indicate a failure.
#ifndef SAPPHIRESTREAM_EDGE_ROUTE_BASELINE_H_
#define SAPPHIRESTREAM_EDGE_ROUTE_BASELINE_H_

#include <cstdint>

#include "sapphirestream/base/clock.h"
#include "sapphirestream/edge/answer_classifier.h"

namespace sapphirestream {

struct RequestVerdict {
  bool failed = false;
  // Request time relative to the route's baseline; 1 for failed requests and
  // while there is no baseline.
  double relative_time = 1;
};

class RouteBaseline {
 public:
  // Answers before request times are compared with the baseline.
  static constexpr std::uint32_t kMinAnswers = 8;
  // Number of answers over which the request time is averaged.
  static constexpr std::uint32_t kWindow = 32;
  // A single lost packet delays a request by about ten times its duration; it
  // must not look like a slow target.
  static constexpr double kMaxRelativeTime = 8;

  // Compares a request with the baseline, and learns from it. `answer_bytes` of
  // zero: the client gave up.
  RequestVerdict Observe(Duration took, std::uint32_t answer_bytes,
                         TimePoint now);
  [[nodiscard]] TimePoint last_used() const noexcept { return last_used_; }

 private:
  AnswerClassifier classifier_;
  std::uint32_t answers_ = 0;
  // Mean request time in ns.
  double time_ = 0;
  TimePoint last_used_{};
};

}  // namespace sapphirestream

#endif  // SAPPHIRESTREAM_EDGE_ROUTE_BASELINE_H_
