#include "sapphirestream/edge/target_selector.h"

#include <algorithm>
#include <iterator>

#include "sapphirestream/edge/flow_cache.h"

namespace sapphirestream {

PlacementQuery TargetSelector::QueryFor(V4Endpoint client, V4Endpoint address,
                                        const Route& route, TargetKey excluded,
                                        TimePoint now) const {
  const std::uint64_t hash = FlowHash(client, address);
  const ServiceSpec& spec = routes_.SpecOf(route.Pick(hash));
  return {
      .kind = route.kind,
      .flow_hash = hash,
      .now = now,
      .excluded = excluded,
      .exclude_cold = evacuates_domains_ && spec.cold_flows_per_s.has_value(),
      .objective = route.objective};
}

EdgePlacement TargetSelector::Select(ServiceNumber service,
                                     const PlacementQuery& query,
                                     const ViewGaps& gaps) {
  const std::vector<EdgeTarget*>& candidates = targets_.OfService(service);
  return OrLastResort(placer_.Place(candidates, query), service, candidates,
                      query, gaps);
}

std::optional<EdgePlacement> TargetSelector::Preview(
    ServiceNumber service, const std::vector<EdgeTarget*>& candidates,
    const PlacementQuery& query, const ViewGaps& gaps) const {
  const std::optional<EdgePlacement> placement =
      placer_.Preview(candidates, query);
  if (!placement) return std::nullopt;
  return OrLastResort(*placement, service, candidates, query, gaps);
}

bool TargetSelector::AllowsEvacuated(ServiceNumber service, TimePoint now,
                                     const ViewGaps& gaps) const {
  if (!gaps.evacuations_unconfirmed) return false;
  bool has_other = false;
  for (const EdgeTarget* const target : targets_.OfService(service)) {
    if (target->evacuated || target->presence == TargetPresence::kGone) {
      continue;
    }
    if (now >= target->cut_off_until) return false;
    has_other = true;
  }
  // If all domains are evacuated, new flows are not wanted anywhere.
  return has_other;
}

EdgePlacement TargetSelector::OrLastResort(
    const EdgePlacement& placement, ServiceNumber service,
    const std::vector<EdgeTarget*>& candidates, const PlacementQuery& query,
    const ViewGaps& gaps) const {
  if (placement.tier < PlacementTier::kUnproven ||
      !AllowsEvacuated(service, query.now, gaps)) {
    return placement;
  }
  std::vector<EdgeTarget*> evacuated;
  std::copy_if(candidates.begin(), candidates.end(),
               std::back_inserter(evacuated), [](const EdgeTarget* target) {
                 return target->evacuated && target->is_local;
               });
  PlacementQuery last_resort = query;
  last_resort.allow_evacuated = true;
  const EdgePlacement other = PlaceFlow(evacuated, last_resort);
  return other.tier < placement.tier ? other : placement;
}

}  // namespace sapphirestream
