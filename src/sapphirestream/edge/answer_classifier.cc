#include "sapphirestream/edge/answer_classifier.h"

#include <algorithm>
#include <cmath>

namespace sapphirestream {
namespace {

constexpr double kSizeUp = 1.0 / 8;
constexpr double kSizeDown = 1.0 / 64;
constexpr double kTimeUp = 1.0 / 16;
constexpr double kTimeDown = 1.0 / 8;
constexpr double kShareStep = 1.0 / 64;
// The first long answers after short ones replace them quickly.
constexpr double kFirstSizeUp = 1.0 / 2;

void MoveTowards(double& value, double sample, double up, double down) {
  value += (sample - value) * (sample > value ? up : down);
}

}  // namespace

bool AnswerClassifier::IsFailure(std::uint32_t bytes, Duration took) {
  const double size = std::log(std::max(1.0, static_cast<double>(bytes)));
  const double time =
      std::log(std::max(1.0, static_cast<double>(took.count())));
  const bool failed = answers_ >= kMinAnswers && IsShort(size) &&
                      time < time_ + std::log(kFastFraction);
  failure_share_ += ((failed ? 1.0 : 0.0) - failure_share_) * kShareStep;
  if (!failed || failure_share_ > kMaxFailureShare) Learn(size, time);
  return failed;
}

bool AnswerClassifier::IsShort(double size) const noexcept {
  return size < size_ + std::log(kShortFraction);
}

void AnswerClassifier::Learn(double size, double time) {
  if (answers_ == 0) {
    size_ = size;
    time_ = time;
  }
  const bool is_new = answers_ < kMinAnswers;
  // The first answers were failures.
  if (is_new && size > size_ - std::log(kShortFraction)) time_ = time;
  MoveTowards(size_, size, is_new ? kFirstSizeUp : kSizeUp, kSizeDown);
  if (!IsShort(size)) MoveTowards(time_, time, kTimeUp, kTimeDown);
  if (is_new) ++answers_;
}

}  // namespace sapphirestream
