#include "sapphirestream/edge/spill_control.h"

#include <algorithm>

#include "sapphirestream/edge/flow_share.h"

namespace sapphirestream {
namespace {

// Gain of a crossing, as a share of the local request time, at which the share
// is limited by kMaxShare alone.
constexpr double kFullGain = 0.3;

}  // namespace

double SpillControl::Limit(const DomainLoad& local,
                           const DomainLoad& remote) noexcept {
  const double gain = 1 - remote.relative_time / local.relative_time;
  const double slope = (kMaxShare - kUnprovenShare) / kFullGain;
  return std::clamp(kUnprovenShare + slope * gain, kProbeShare, kMaxShare);
}

void SpillControl::Update(const DomainLoad& local, const DomainLoad& remote,
                          TimePoint now) noexcept {
  const Duration elapsed = std::max(Duration::zero(), now - updated_);
  updated_ = std::max(updated_, now);
  if (share_ == 0 && local.expected_wait <= kCrossingCost) return;
  const double steps = std::chrono::duration<double>(elapsed) / kEffectDelay;
  const double error =
      std::clamp(local.expected_wait / kCrossingCost - 1, -1.0, 1.0);
  if (error <= 0) {
    share_ = std::max(0.0, share_ + error * steps * kMaxStep);
    return;
  }
  const double limit = Limit(local, remote);
  const double step = kMaxStep * std::min(1.0, steps);
  share_ = share_ > limit ? std::max(limit, share_ - step)
                          : std::min(limit, share_ + error * step);
}

bool SpillControl::MayCross(std::uint64_t flow_hash) const noexcept {
  return FlowPosition(flow_hash, FlowShare::kSpill) < share_ * 0x1.0p32;
}

}  // namespace sapphirestream
