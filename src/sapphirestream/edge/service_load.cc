#include "sapphirestream/edge/service_load.h"

#include <algorithm>
#include <cstddef>

#include "sapphirestream/edge/edge_placement.h"
#include "sapphirestream/edge/target_slots.h"

namespace sapphirestream {
namespace {

// Returns the requests per slot at which requests take `slowdown` times as long
// as without load. Requests that find all slots in use for the time of one
// request take twice as long; beyond that, the time grows with the queue.
double ImpliedLoad(double slowdown) {
  return std::max(0.0, std::min(slowdown, 2 * (slowdown - 1)));
}

// Requests per slot below which a target is idle, so that its failures are not
// caused by load.
constexpr double kIdleLoad = 0.5;

bool IsSelectable(const EdgeTarget& target, TimePoint now) {
  const PlacementTier tier = TierOf(target, {.now = now, .exclude_cold = true});
  return tier != PlacementTier::kNone && tier != PlacementTier::kUnproven;
}

// Whether other domains may use the same targets. While slots of this domain
// are free, its flows stay here, and so do those of the others.
bool HasUnknownLoad(const std::vector<EdgeTarget*>& targets,
                    const PerformanceSource& source, TimePoint now) {
  double local_requests = 0;
  double local_slots = 0;
  bool has_remote = false;
  for (const EdgeTarget* const target : targets) {
    if (!IsSelectable(*target, now)) continue;
    if (target->is_local) {
      local_requests += source.Estimate(*target, now).outstanding;
      local_slots += SlotsOf(*target);
    } else {
      has_remote = true;
    }
  }
  return has_remote && local_requests >= local_slots;
}

double Median(std::vector<double>& values) {
  if (values.empty()) return 0;
  const auto middle =
      values.begin() + static_cast<std::ptrdiff_t>((values.size() - 1) / 2);
  std::nth_element(values.begin(), middle, values.end());
  return *middle;
}

}  // namespace

ServiceLoad LoadOf(const std::vector<EdgeTarget*>& targets,
                   const PerformanceSource& source,
                   const RequestSlowdown& slowdown, TimePoint now) {
  double requests = 0;
  double all_slots = 0;
  const bool uses_slowdown = HasUnknownLoad(targets, source, now);
  std::vector<double> loads;
  std::vector<double> failure_shares;
  loads.reserve(targets.size());
  failure_shares.reserve(targets.size());
  for (const EdgeTarget* const target : targets) {
    if (!IsSelectable(*target, now)) continue;
    const TargetEstimate estimate = source.Estimate(*target, now);
    const double slots = SlotsOf(*target);
    const double known = estimate.outstanding / slots;
    if (estimate.failure_share >= kFaultyFailureShare && known < kIdleLoad) {
      continue;
    }
    const double implied =
        uses_slowdown
            ? ImpliedLoad(target->is_local ? slowdown.local : slowdown.remote)
            : 0;
    const double load = std::min(std::max(known, implied), kMaxCountedLoad);
    requests += load * slots;
    all_slots += slots;
    loads.push_back(load);
    failure_shares.push_back(estimate.failure_share);
  }
  return {.requests_per_slot = all_slots > 0 ? requests / all_slots : 0,
          .median_requests_per_slot = Median(loads),
          .median_failure_share = Median(failure_shares)};
}

}  // namespace sapphirestream
