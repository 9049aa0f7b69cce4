// Collects the observations that this instance sends to its peers.
#ifndef SAPPHIRESTREAM_EDGE_OWN_SAMPLES_H_
#define SAPPHIRESTREAM_EDGE_OWN_SAMPLES_H_

#include <unordered_map>
#include <vector>

#include "sapphirestream/base/clock.h"
#include "sapphirestream/edge/fwd.h"
#include "sapphirestream/edge/route_baseline.h"
#include "sapphirestream/edge/target_samples.h"

namespace sapphirestream {

class OwnSamples {
 public:
  // Time after which an unchanged count is reported again. In between,
  // SampleBacklog repeats it in messages that have room for it. A count that is
  // reported again is sent with priority, as a changed one is. Peers drop it
  // after kSamplesTimeout; two reports in a row may be lost.
  static constexpr Duration kRepeatInterval = kSamplesTimeout / 3;

  void Add(TargetKey target, Incarnation incarnation,
           const RequestVerdict& verdict);
  // Returns the sums since the last call, and the targets whose count of
  // outstanding requests has changed or has to be repeated.
  [[nodiscard]] std::vector<TargetSamples> Take(TargetDirectory& targets,
                                                TimePoint now);

 private:
  struct SentCount {
    std::uint32_t outstanding = 0;
    TimePoint at{};
  };

  [[nodiscard]] bool MustSendCount(const EdgeTarget& target,
                                   TimePoint now) const;

  std::unordered_map<TargetKey, TargetSamples> pending_;
  // The last counts sent, except zero.
  std::unordered_map<TargetKey, SentCount> sent_;
};

}  // namespace sapphirestream

#endif  // SAPPHIRESTREAM_EDGE_OWN_SAMPLES_H_
