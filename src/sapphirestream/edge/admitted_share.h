// Share of a service's new flows that is admitted, and its distribution over
// the priorities.
#ifndef SAPPHIRESTREAM_EDGE_ADMITTED_SHARE_H_
#define SAPPHIRESTREAM_EDGE_ADMITTED_SHARE_H_

#include <array>
#include <cstddef>
#include <cstdint>

#include "sapphirestream/base/clock.h"

namespace sapphirestream {

// Falls while the pressure exceeds 1 and rises while it is lower, the faster
// the greater the difference, so that the refused share follows the excess.
class AdmittedShare {
 public:
  // Ten times the capacity, by clients that try three times, needs 1/30.
  static constexpr double kMinimum = 1.0 / 64;
  // At a pressure of 2 or more, the share falls by half in each 100 ms from
  // when the pressure counts as sustained: to a quarter within the time after
  // which clients send an opening packet again.
  static constexpr Duration kHalvingTime = std::chrono::milliseconds(100);
  // Without pressure, the share doubles in each 100 ms: it rises from the
  // minimum to 1 within 600 ms after a peak, less than the 1.4 s
  // for which a client waits for the answer to an opening packet.
  static constexpr Duration kDoublingTime = std::chrono::milliseconds(100);
  // A change is limited to that of this time, whatever the time between two
  // updates: what happened in between is unknown.
  static constexpr Duration kMaxStep = std::chrono::milliseconds(100);
  // Everything is admitted if there was no update for this time.
  static constexpr Duration kExpiry = std::chrono::seconds(1);

  // `pressure`: 1 is the bound.
  void Update(double pressure, TimePoint now);
  // Greater than 0, at most 1.
  [[nodiscard]] double value() const noexcept { return value_; }

 private:
  double integral_ = 1;
  double value_ = 1;
  TimePoint updated_{};
};

// Divides the admitted share among the priorities: the most urgent first, but
// a part of the admitted flows goes to all.
class PriorityShares {
 public:
  // Lower urgencies are treated as the last one.
  static constexpr std::size_t kPriorities = 8;
  // Part of the admitted flows that is divided without regard to urgency, so
  // that no priority is starved.
  static constexpr double kReserved = 0.1;
  // Time constant of the recent demand.
  static constexpr Duration kDemandTime = std::chrono::milliseconds(500);

  [[nodiscard]] static std::size_t ClassOf(std::uint32_t priority) noexcept;
  void AddDemand(std::size_t priority_class, double flows) noexcept {
    demand_.at(priority_class) += flows;
  }
  // Ages the demand and computes the shares.
  void Update(double admitted_share, TimePoint now);
  [[nodiscard]] double Of(std::size_t priority_class) const noexcept {
    return shares_.at(priority_class);
  }

 private:
  std::array<double, kPriorities> demand_{};
  std::array<double, kPriorities> shares_{1, 1, 1, 1, 1, 1, 1, 1};
  TimePoint updated_{};
};

}  // namespace sapphirestream

#endif  // SAPPHIRESTREAM_EDGE_ADMITTED_SHARE_H_
