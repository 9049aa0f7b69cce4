// Smoothed performance of one target: its request time relative to its routes,
// and its failures.
#ifndef SAPPHIRESTREAM_EDGE_TARGET_PERFORMANCE_H_
#define SAPPHIRESTREAM_EDGE_TARGET_PERFORMANCE_H_

#include <cstdint>

#include "sapphirestream/base/clock.h"

namespace sapphirestream {

class TargetPerformance {
 public:
  // Evidence is forgotten with this time constant.
  static constexpr Duration kMemory = std::chrono::seconds(8);
  // Number of requests over which times are averaged at least, and up to which
  // confidence grows. Enough to tell a target several times slower from the
  // usual variation, and reached within about a second when peers share their
  // observations.
  static constexpr double kMinWindow = 12;
  // Number of requests that give half of the full confidence.
  static constexpr double kNeutralRequests = 3;
  // Share of load of a target whose requests all fail. A trickle has to remain,
  // since only requests show that it has recovered.
  static constexpr double kMinAllowance = 0.02;
  // Time after a failure from which the allowance grows without requests.
  static constexpr Duration kFailureHold = std::chrono::seconds(3);
  // Time in which it doubles then.
  static constexpr Duration kAllowanceDoubling = std::chrono::seconds(2);

  // Adds requests that did not fail. `relative_time` is their mean.
  void AddAnswers(std::uint32_t count, double relative_time, TimePoint now);
  // `idle`: free part of the target's slots, 0 to 1. A full target that rejects
  // requests is not at fault, and its count of outstanding requests already
  // keeps load away; a target that fails while it is idle is.
  void AddFailures(std::uint32_t count, double idle, TimePoint now);

  // Mean request time relative to the routes, as a logarithm. The larger one of
  // a short and a long average, so that it rises faster than it falls.
  [[nodiscard]] double LogTime() const;
  // Weight of the time, from 0 without recent requests to nearly 1.
  [[nodiscard]] double Confidence(TimePoint now) const;
  // Share of recent requests that failed, 0 to 1.
  [[nodiscard]] double FailureShare(TimePoint now) const;
  // Share of the usual load that the target may get in view of its failures,
  // kMinAllowance to 1. Falls to a tenth with three failures in a row and to
  // the minimum if more than about an eighth of the requests fail; grows with
  // successful requests and with the time since the last failure.
  [[nodiscard]] double Allowance(TimePoint now) const;
  // Number of requests, each with a weight that decreases with its age.
  [[nodiscard]] double Evidence(TimePoint now) const;
  [[nodiscard]] TimePoint updated() const noexcept { return updated_; }

 private:
  void Advance(TimePoint now);
  [[nodiscard]] double Retained(TimePoint now) const;

  // All as of `updated_`. Requests that did not fail and all requests, each
  // with a weight that decreases with its age.
  double answers_ = 0;
  double evidence_ = 0;
  double short_mean_ = 1;
  double long_mean_ = 1;
  double failure_share_ = 0;
  double allowance_ = 1;
  TimePoint last_failure_{};
  TimePoint updated_{};
};

}  // namespace sapphirestream

#endif  // SAPPHIRESTREAM_EDGE_TARGET_PERFORMANCE_H_
