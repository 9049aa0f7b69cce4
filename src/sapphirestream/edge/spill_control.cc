#include "sapphirestream/edge/spill_control.h"

#include <algorithm>
#include <cmath>

#include "sapphirestream/base/duration.h"
#include "sapphirestream/edge/flow_share.h"

namespace sapphirestream {
namespace {

// Failure shares above this are not distinguished, so that the request time
// that is derived from them stays bounded.
constexpr double kMaxFailureShare = 0.9;

}  // namespace

void SpillControl::Traffic::Decay(double seconds) noexcept {
  const double retained = std::exp(-seconds / Seconds(kMemory));
  flows *= retained;
  outstanding *= retained;
}

void SpillControl::Traffic::Add(const DomainLoad& load,
                                double seconds) noexcept {
  outstanding += load.outstanding * seconds;
  failure_share = std::clamp(load.failure_share, 0.0, kMaxFailureShare);
}

double SpillControl::Traffic::RequestTime() const noexcept {
  // Rejected requests end at once.
  return outstanding / std::max(flows, 1e-3) / (1 - failure_share);
}

double SpillControl::Limit() const noexcept {
  const double local_time = local_.RequestTime();
  if (local_time <= 0) return kUnprovenShare;
  // Rejected requests are repeated. This counts against other domains only,
  // since their rejections are known less well.
  const double remote_time =
      remote_.RequestTime() / (1 - remote_.failure_share);
  const double gain = 1 - remote_time / local_time;
  const double proven =
      std::clamp(kMaxShare * gain / kFullGain, kProbeShare, kMaxShare);
  const double confidence = remote_.flows / (remote_.flows + kNeutralRequests);
  return confidence * proven + (1 - confidence) * kUnprovenShare;
}

void SpillControl::Update(const DomainLoad& local, const DomainLoad& remote,
                          TimePoint now) noexcept {
  const Duration elapsed = std::max(Duration::zero(), now - updated_);
  const bool was_saturated = saturated_;
  updated_ = std::max(updated_, now);
  local_.Decay(Seconds(elapsed));
  remote_.Decay(Seconds(elapsed));
  const double steps = Seconds(elapsed) / Seconds(kEffectDelay);
  const double error =
      std::clamp(local.expected_wait / kCrossingCost - 1, -1.0, 1.0);
  saturated_ = error > 0;
  if (!saturated_) {
    share_ = std::max(0.0, share_ + error * steps * kMaxStep);
    return;
  }
  if (was_saturated) {
    local_.Add(local, Seconds(elapsed));
    remote_.Add(remote, Seconds(elapsed));
  }
  const double limit = Limit();
  const double step = kMaxStep * std::min(1.0, steps);
  share_ = share_ > limit ? std::max(limit, share_ - step)
                          : std::min(limit, share_ + error * step);
}

void SpillControl::OnPlaced(bool crossed) noexcept {
  if (saturated_) ++(crossed ? remote_ : local_).flows;
}

bool SpillControl::MayCross(std::uint64_t flow_hash) const noexcept {
  return FlowPosition(flow_hash, FlowShare::kSpill) < share_ * 0x1.0p32;
}

}  // namespace sapphirestream
