#include "sapphirestream/edge/own_samples.h"

#include <cmath>

#include "sapphirestream/edge/target_directory.h"

namespace sapphirestream {

void OwnSamples::Add(TargetKey target, Incarnation incarnation,
                     const RequestVerdict& verdict) {
  TargetSamples& samples = pending_[target];
  if (samples.incarnation != incarnation) {
    samples = {.target = target, .incarnation = incarnation};
  }
  ++samples.count;
  if (verdict.failed) {
    ++samples.failures;
  } else {
    samples.relative_time_permille +=
        static_cast<std::uint64_t>(std::llround(verdict.relative_time * 1000));
  }
}

bool OwnSamples::MustSendCount(const EdgeTarget& target, TimePoint now) const {
  const auto it = sent_.find(target.record.key);
  if (it == sent_.end()) return target.outstanding > 0;
  return it->second.outstanding != target.outstanding ||
         now - it->second.at >= kRepeatInterval;
}

std::vector<TargetSamples> OwnSamples::Take(TargetDirectory& targets,
                                            TimePoint now) {
  std::vector<TargetSamples> taken;
  targets.ForEach([&](const EdgeTarget& target) {
    const TargetKey key = target.record.key;
    const Incarnation incarnation = target.record.incarnation;
    const auto it = pending_.find(key);
    const bool has_requests =
        it != pending_.end() && it->second.incarnation == incarnation;
    if (!has_requests && !MustSendCount(target, now)) return;
    TargetSamples samples{.target = key, .incarnation = incarnation};
    if (has_requests) samples = it->second;
    samples.outstanding = target.outstanding;
    taken.push_back(samples);
    if (target.outstanding > 0) {
      sent_[key] = {target.outstanding, now};
    } else {
      sent_.erase(key);
    }
  });
  pending_.clear();
  std::erase_if(sent_, [&targets](const auto& entry) {
    return targets.Find(entry.first) == nullptr;
  });
  return taken;
}

}  // namespace sapphirestream
