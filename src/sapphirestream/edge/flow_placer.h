// Interface of the decision where a new flow goes.
#ifndef SAPPHIRESTREAM_EDGE_FLOW_PLACER_H_
#define SAPPHIRESTREAM_EDGE_FLOW_PLACER_H_

#include <vector>

#include "sapphirestream/edge/edge_placement.h"
#include "sapphirestream/edge/fwd.h"

namespace sapphirestream {

class FlowPlacer {
 public:
  virtual ~FlowPlacer() = default;
  // Returns a null target if no target is eligible. `targets` are those of one
  // service.
  [[nodiscard]] virtual EdgePlacement Place(
      const std::vector<EdgeTarget*>& targets, const PlacementQuery& query) = 0;
};

// Places flows by tier, on the load of this instance alone; see PlaceFlow.
class TierPlacer final : public FlowPlacer {
 public:
  [[nodiscard]] EdgePlacement Place(const std::vector<EdgeTarget*>& targets,
                                    const PlacementQuery& query) override {
    return PlaceFlow(targets, query);
  }
};

}  // namespace sapphirestream

#endif  // SAPPHIRESTREAM_EDGE_FLOW_PLACER_H_
