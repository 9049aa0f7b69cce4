#include "sapphirestream/edge/target_performance.h"

#include <algorithm>
#include <cmath>

#include "sapphirestream/base/duration.h"

namespace sapphirestream {
namespace {

// Averages cover at least this part of the evidence, which is about a second
// and two seconds at a constant rate: a faster reaction would let the load on a
// target oscillate, since all instances react to the same evidence.
constexpr double kShortPart = 1.0 / 8;
constexpr double kLongPart = 1.0 / 4;

// Factors of the allowance. One failure may be accidental, three are not.
constexpr double kOnFailure = 0.45;
constexpr double kOnAnswer = 1.12;

double Step(double count, double evidence, double part) {
  const double window = std::min(
      evidence, std::max(TargetPerformance::kMinWindow, evidence * part));
  return count / (count + window);
}

}  // namespace

void TargetPerformance::AddAnswers(std::uint32_t count, double relative_time,
                                   TimePoint now) {
  if (count == 0) return;
  Advance(now);
  short_mean_ +=
      (relative_time - short_mean_) * Step(count, answers_, kShortPart);
  long_mean_ += (relative_time - long_mean_) * Step(count, answers_, kLongPart);
  failure_share_ -= failure_share_ * Step(count, evidence_, kShortPart);
  evidence_ += count;
  answers_ += count;
  allowance_ = std::min(1.0, allowance_ * std::pow(kOnAnswer, count));
}

void TargetPerformance::AddFailures(std::uint32_t count, double idle,
                                    TimePoint now) {
  if (count == 0) return;
  Advance(now);
  failure_share_ += (1 - failure_share_) * Step(count, evidence_, kShortPart);
  evidence_ += count;
  allowance_ =
      std::max(kMinAllowance, allowance_ * std::pow(kOnFailure, count * idle));
  if (idle > 0) last_failure_ = now;
}

double TargetPerformance::LogTime() const {
  return std::log(std::max(short_mean_, long_mean_));
}

double TargetPerformance::Confidence(TimePoint now) const {
  const double answers = std::min(answers_, kMinWindow) * Retained(now);
  return answers / (answers + kNeutralRequests);
}

double TargetPerformance::FailureShare(TimePoint now) const {
  const double outcomes = std::min(evidence_, kMinWindow) * Retained(now);
  return failure_share_ * outcomes / (outcomes + 1);
}

double TargetPerformance::Allowance(TimePoint now) const {
  const TimePoint from = std::max(updated_, last_failure_ + kFailureHold);
  if (allowance_ >= 1 || now <= from) return allowance_;
  const double doublings = Seconds(now - from) / Seconds(kAllowanceDoubling);
  return std::min(1.0, allowance_ * std::exp2(std::min(doublings, 10.0)));
}

double TargetPerformance::Evidence(TimePoint now) const {
  return evidence_ * Retained(now);
}

double TargetPerformance::Retained(TimePoint now) const {
  if (now <= updated_) return 1;
  return std::exp(-Seconds(now - updated_) / Seconds(kMemory));
}

void TargetPerformance::Advance(TimePoint now) {
  if (now <= updated_) return;
  const double retained = Retained(now);
  allowance_ = Allowance(now);
  evidence_ *= retained;
  answers_ *= retained;
  updated_ = now;
}

}  // namespace sapphirestream
