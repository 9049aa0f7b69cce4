// Results of a run: imbalance, waiting times and the outcome of each flow.
#include <algorithm>
#include <cstdint>

#include "bench/fleet/traffic.h"

namespace sapphirestream::fleet {
namespace {

constexpr Duration kSampleInterval = std::chrono::milliseconds(100);

}  // namespace

double TrafficResult::WaitAt(double percentile) const noexcept {
  if (waits.empty()) return 0;
  const auto index = static_cast<std::size_t>(
      percentile / 100 * static_cast<double>(waits.size() - 1));
  return waits[index];
}

void Traffic::SampleLoad() {
  std::uint32_t peak = 0;
  std::uint32_t sum = 0;
  std::uint32_t count = 0;
  for (const auto& [id, state] : targets_) {
    const auto load =
        state.busy + static_cast<std::uint32_t>(state.queue.size());
    peak = std::max(peak, load);
    sum += load;
    if (state.has_served) ++count;
  }
  if (is_measuring_ && sum > 0 && count > 0) {
    busy_sum_ += static_cast<double>(peak) * count / sum;
    ++busy_samples_;
  }
  After(kSampleInterval, [this] { SampleLoad(); });
}

double Traffic::BusyImbalance() const noexcept {
  return busy_samples_ == 0 ? 0
                            : busy_sum_ / static_cast<double>(busy_samples_);
}

double Traffic::OpenImbalance(ServiceId service) const {
  std::size_t peak = 0;
  std::size_t sum = 0;
  std::size_t count = 0;
  for (const Service& s : system_->newest().services) {
    if (s.id != service) continue;
    for (const Target& target : s.targets) {
      if (target.drained != ConfigVersion{}) continue;
      const auto it = targets_.find(target.id);
      const std::size_t open =
          it == targets_.end() ? 0 : it->second.open.size();
      peak = std::max(peak, open);
      sum += open;
      ++count;
    }
  }
  return sum == 0 ? 0
                  : static_cast<double>(peak) * static_cast<double>(count) /
                        static_cast<double>(sum);
}

void Traffic::KillTarget(TargetId target) { StateOf(target).is_dead = true; }

TrafficResult Traffic::Finish() {
  for (const auto& [id, flow] : flows_) {
    const bool is_stream =
        flow.kind == Kind::kStream || flow.kind == Kind::kShort;
    if (is_stream) {
      if (flow.is_broken) ++result_.streams_broken;
      if (flow.is_stalled) ++result_.stalled;
      if (flow.target == kNoTarget && flow.phase == Phase::kDone) {
        ++result_.streams_not_opened;
      }
      continue;
    }
    if (flow.is_broken) ++result_.requests_broken;
    if (flow.is_stalled) ++result_.stalled;
    if (flow.is_answered) ++result_.requests_answered;
    if (flow.is_refused) ++result_.requests_refused;
    if (flow.ran.size() > 1) ++result_.requests_doubled;
    if (flow.is_refused && !flow.ran.empty()) ++result_.false_not_run;
  }
  std::sort(result_.waits.begin(), result_.waits.end());
  return result_;
}

}  // namespace sapphirestream::fleet
