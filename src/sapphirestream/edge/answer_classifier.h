// Tells failed answers of a route from normal ones by size and time: a target
// that rejects a request, or fails at once, answers it shorter and faster than
// the route's targets usually do.
#ifndef SAPPHIRESTREAM_EDGE_ANSWER_CLASSIFIER_H_
#define SAPPHIRESTREAM_EDGE_ANSWER_CLASSIFIER_H_

#include <cstdint>

#include "sapphirestream/base/clock.h"

namespace sapphirestream {

class AnswerClassifier {
 public:
  // Answers before the first one is judged.
  static constexpr std::uint32_t kMinAnswers = 16;
  // An error response is a status line and a few headers; normal answers of the
  // routes concerned are several times as long. Each condition alone holds for
  // some normal answers.
  static constexpr double kShortFraction = 1.0 / 3;
  static constexpr double kFastFraction = 1.0 / 2;
  // Share of short and fast answers above which they are the route's normal
  // ones: its answers have become shorter.
  static constexpr double kMaxFailureShare = 0.75;

  // Judges an answer and learns from it. `bytes` is not zero.
  bool IsFailure(std::uint32_t bytes, Duration took);

 private:
  [[nodiscard]] bool IsShort(double size) const noexcept;
  void Learn(double size, double time);

  std::uint32_t answers_ = 0;
  // Upper and lower expectiles of log(bytes) and log(ns). The size follows long
  // answers much faster than short ones, so that it stays near the size of
  // successful answers even if most answers fail from the start. The time is
  // learned from answers that are not short, and follows the fast ones, so that
  // slow targets do not make normal answers look fast.
  double size_ = 0;
  double time_ = 0;
  // Smoothed share of answers that were short and fast.
  double failure_share_ = 0;
};

}  // namespace sapphirestream

#endif  // SAPPHIRESTREAM_EDGE_ANSWER_CLASSIFIER_H_
