// Selects the target of a new flow: by a FlowPlacer or, as a last resort, among
// the evacuated targets of this instance's failure domain.
#ifndef SAPPHIRESTREAM_EDGE_TARGET_SELECTOR_H_
#define SAPPHIRESTREAM_EDGE_TARGET_SELECTOR_H_

#include <optional>
#include <vector>

#include "sapphirestream/base/clock.h"
#include "sapphirestream/edge/edge_placement.h"
#include "sapphirestream/edge/flow_placer.h"
#include "sapphirestream/edge/route_table.h"
#include "sapphirestream/edge/target_directory.h"

namespace sapphirestream {

// What an instance cannot know at the moment, because of its view of the store.
struct ViewGaps {
  // Targets are registering again after a store outage, so that a service
  // without targets may have some shortly.
  bool targets_recovering = false;
  // The store cannot be reached, so that an evacuation may have ended.
  bool evacuations_unconfirmed = false;
};

class TargetSelector {
 public:
  // The references must outlive this object. `evacuates_domains`: same as in
  // SteeringOptions.
  TargetSelector(const RouteTable& routes, const TargetDirectory& targets,
                 FlowPlacer& placer, bool evacuates_domains)
      : routes_(routes),
        targets_(targets),
        placer_(placer),
        evacuates_domains_(evacuates_domains) {}

  // Returns the query for a flow from `client` to `address` of the route.
  [[nodiscard]] PlacementQuery QueryFor(V4Endpoint client, V4Endpoint address,
                                        const Route& route, TargetKey excluded,
                                        TimePoint now) const;
  // Returns a null target if no target of the service is eligible.
  [[nodiscard]] EdgePlacement Select(ServiceNumber service,
                                     const PlacementQuery& query,
                                     const ViewGaps& gaps);
  // Returns what Select would return if it had only the targets in
  // `candidates`, without any effect on later decisions; nothing if the placer
  // cannot tell.
  [[nodiscard]] std::optional<EdgePlacement> Preview(
      ServiceNumber service, const std::vector<EdgeTarget*>& candidates,
      const PlacementQuery& query, const ViewGaps& gaps) const;
  // Whether evacuated targets of this instance's domain may be selected as a
  // last resort: all domains that are not evacuated seem to be cut off.
  [[nodiscard]] bool AllowsEvacuated(ServiceNumber service, TimePoint now,
                                     const ViewGaps& gaps) const;

 private:
  // Returns the selection among the evacuated targets if it is better than
  // `placement`.
  [[nodiscard]] EdgePlacement OrLastResort(
      const EdgePlacement& placement, ServiceNumber service,
      const std::vector<EdgeTarget*>& candidates, const PlacementQuery& query,
      const ViewGaps& gaps) const;

  const RouteTable& routes_;
  const TargetDirectory& targets_;
  FlowPlacer& placer_;
  bool evacuates_domains_;
};

}  // namespace sapphirestream

#endif  // SAPPHIRESTREAM_EDGE_TARGET_SELECTOR_H_
