// Paces the probes that find out which of several targets has an address.
#ifndef SAPPHIRESTREAM_EDGE_ADDRESS_PROBES_H_
#define SAPPHIRESTREAM_EDGE_ADDRESS_PROBES_H_

#include <algorithm>
#include <chrono>
#include <map>
#include <optional>
#include <set>

#include "sapphirestream/base/clock.h"
#include "sapphirestream/edge/fwd.h"

namespace sapphirestream {

// The first probe of a target is due at once. The pause after it doubles, so
// that an entry that nobody answers for costs few probes.
class AddressProbes {
 public:
  static constexpr Duration kMinPause = std::chrono::milliseconds(400);
  static constexpr Duration kMaxPause = std::chrono::milliseconds(3200);

  // Removes the targets that need no probe any more.
  void Retain(const std::set<TargetKey>& targets) {
    std::erase_if(probes_, [&targets](const auto& entry) {
      return !targets.contains(entry.first);
    });
  }
  [[nodiscard]] bool IsDue(TargetKey target, TimePoint now) const {
    const auto it = probes_.find(target);
    return it == probes_.end() || now >= it->second.next;
  }
  void OnProbed(TargetKey target, TimePoint now) {
    Probe& probe = probes_[target];
    probe.next = now + probe.pause;
    probe.pause = std::min(2 * probe.pause, kMaxPause);
  }
  // Returns when the next target that has been probed is due again.
  [[nodiscard]] std::optional<TimePoint> NextDue() const {
    std::optional<TimePoint> next;
    for (const auto& [target, probe] : probes_) {
      if (!next || probe.next < *next) next = probe.next;
    }
    return next;
  }

 private:
  struct Probe {
    TimePoint next{};
    Duration pause = kMinPause;
  };

  std::map<TargetKey, Probe> probes_;
};

}  // namespace sapphirestream

#endif  // SAPPHIRESTREAM_EDGE_ADDRESS_PROBES_H_
