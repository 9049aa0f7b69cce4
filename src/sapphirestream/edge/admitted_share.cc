#include "sapphirestream/edge/admitted_share.h"

#include <algorithm>
#include <cmath>

namespace sapphirestream {
namespace {

// Immediate part of the reaction to the pressure. Without it, the share would
// overshoot, since the queues of the targets are themselves integrals.
constexpr double kDamping = 0.5;

double Ratio(Duration elapsed, Duration unit) {
  return std::chrono::duration<double>(elapsed) /
         std::chrono::duration<double>(unit);
}

}  // namespace

void AdmittedShare::Update(double pressure, TimePoint now) {
  const Duration elapsed = now - updated_;
  updated_ = now;
  if (elapsed >= kExpiry) integral_ = 1;
  const Duration step = std::min(elapsed, kMaxStep);
  const double excess = std::clamp(pressure - 1, -1.0, 1.0);
  const double doublings = excess > 0
                               ? -excess * excess * Ratio(step, kHalvingTime)
                               : -excess * Ratio(step, kDoublingTime);
  integral_ = std::clamp(integral_ * std::exp2(doublings), kMinimum, 1.0);
  value_ = integral_ < 1 ? std::clamp(integral_ * std::exp2(-kDamping * excess),
                                      kMinimum, 1.0)
                         : 1;
}

std::size_t PriorityShares::ClassOf(std::uint32_t priority) noexcept {
  return std::min<std::size_t>(priority, kPriorities - 1);
}

void PriorityShares::Update(double admitted_share, TimePoint now) {
  const double kept = std::exp(-Ratio(now - updated_, kDemandTime));
  updated_ = now;
  double total = 0;
  for (double& demand : demand_) total += demand *= kept;
  const double reserved = kReserved * admitted_share;
  double rest = (admitted_share - reserved) * total;
  for (std::size_t i = 0; i < kPriorities; ++i) {
    const double more = std::min(demand_.at(i) * (1 - reserved), rest);
    rest = std::max(0.0, rest - more);
    shares_.at(i) =
        demand_.at(i) > 0 ? reserved + more / demand_.at(i) : admitted_share;
  }
}

}  // namespace sapphirestream
