#include "sapphirestream/edge/service_load.h"

#include <algorithm>
#include <cstddef>

#include "sapphirestream/edge/edge_placement.h"

namespace sapphirestream {
namespace {

// Only the instances of one domain exchange their counts, so that the load of
// a target in another domain is known in part.
constexpr double kBusyLocal = 1;
constexpr double kBusyRemote = 0.5;

struct SlotSum {
  double requests = 0;
  double slots = 0;

  [[nodiscard]] double PerSlot() const {
    return slots > 0 ? requests / slots : 0;
  }
  [[nodiscard]] bool IsBusy(double per_slot) const {
    return slots <= 0 || PerSlot() >= per_slot;
  }
};

bool IsSelectable(const EdgeTarget& target, TimePoint now) {
  const PlacementTier tier = TierOf(target, {.now = now, .exclude_cold = true});
  return tier != PlacementTier::kNone && tier != PlacementTier::kUnproven;
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
                   const PerformanceSource& source, TimePoint now) {
  SlotSum local;
  SlotSum remote;
  std::vector<double> failure_shares;
  failure_shares.reserve(targets.size());
  for (const EdgeTarget* const target : targets) {
    if (!IsSelectable(*target, now)) continue;
    const TargetEstimate estimate = source.Estimate(*target, now);
    const double slots = std::max(1U, target->record.slots);
    const double load = std::min(estimate.outstanding / slots, kMaxCountedLoad);
    if (estimate.failure_share >= kFaultyFailureShare && load < kBusyRemote) {
      continue;
    }
    SlotSum& sum = target->is_local ? local : remote;
    sum.requests += load * slots;
    sum.slots += slots;
    failure_shares.push_back(estimate.failure_share);
  }
  const SlotSum all{local.requests + remote.requests,
                    local.slots + remote.slots};
  return {.requests_per_slot = all.PerSlot(),
          .is_busy = all.slots > 0 && local.IsBusy(kBusyLocal) &&
                     remote.IsBusy(kBusyRemote),
          .failure_share = Median(failure_shares)};
}

}  // namespace sapphirestream
