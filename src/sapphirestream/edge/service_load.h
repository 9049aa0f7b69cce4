// Load of a service as far as this instance and its peers know it.
#ifndef SAPPHIRESTREAM_EDGE_SERVICE_LOAD_H_
#define SAPPHIRESTREAM_EDGE_SERVICE_LOAD_H_

#include <vector>

#include "sapphirestream/base/clock.h"
#include "sapphirestream/edge/target_directory.h"
#include "sapphirestream/edge/target_estimate.h"

namespace sapphirestream {

struct ServiceLoad {
  // Requests in progress per slot over all targets that can be selected; zero
  // if there is none.
  double requests_per_slot = 0;
  // Medians over these targets: a few failing, full or idle targets say nothing
  // about the service.
  double median_requests_per_slot = 0;
  double median_failure_share = 0;
};

// Recent request times relative to those without load.
struct RequestSlowdown {
  double local = 1;
  double remote = 1;
};

// Load of a single target above which it does not count further: one long queue
// must not make a service look full while other targets are idle.
inline constexpr double kMaxCountedLoad = 4;
// A target that fails at least this share of its requests while its slots are
// idle has a fault and is not counted as capacity.
inline constexpr double kFaultyFailureShare = 0.5;

// Cold, unproven and faulty targets are not counted: placement avoids them. The
// instances of other domains do not tell their counts, so a target's load is at
// least what `slowdown` implies for its domain.
[[nodiscard]] ServiceLoad LoadOf(const std::vector<EdgeTarget*>& targets,
                                 const PerformanceSource& source,
                                 const RequestSlowdown& slowdown,
                                 TimePoint now);

}  // namespace sapphirestream

#endif  // SAPPHIRESTREAM_EDGE_SERVICE_LOAD_H_
