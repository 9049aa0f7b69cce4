// What is known of a target's performance at a moment.
#ifndef SAPPHIRESTREAM_EDGE_TARGET_ESTIMATE_H_
#define SAPPHIRESTREAM_EDGE_TARGET_ESTIMATE_H_

#include <cstdint>

#include "sapphirestream/base/clock.h"
#include "sapphirestream/edge/fwd.h"

namespace sapphirestream {

struct TargetEstimate {
  // Request time relative to the average of the targets that serve the same
  // routes; 1 if nothing is known.
  double relative_time = 1;
  // Share of recent requests that failed or were rejected, 0 to 1.
  double failure_share = 0;
  // Requests in progress: those of this instance and recent counts of its
  // peers.
  std::uint32_t outstanding = 0;
  // Share of the load that the target should get, relative to an average
  // target. Greater than 0.
  double weight = 1;
};

class PerformanceSource {
 public:
  virtual ~PerformanceSource() = default;
  [[nodiscard]] virtual TargetEstimate Estimate(const EdgeTarget& target,
                                                TimePoint now) const = 0;
};

}  // namespace sapphirestream

#endif  // SAPPHIRESTREAM_EDGE_TARGET_ESTIMATE_H_
