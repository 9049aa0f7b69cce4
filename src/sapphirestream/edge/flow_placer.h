// Interface of the decision where a new flow goes.
#ifndef SAPPHIRESTREAM_EDGE_FLOW_PLACER_H_
#define SAPPHIRESTREAM_EDGE_FLOW_PLACER_H_

#include <optional>
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
  // Returns what Place would return, without any effect on later decisions;
  // nothing if the placer cannot tell.
  [[nodiscard]] virtual std::optional<EdgePlacement> Preview(
      const std::vector<EdgeTarget*>& /*targets*/,
      const PlacementQuery& /*query*/) const {
    return std::nullopt;
  }
};

// Places flows by tier, on the load of this instance alone; see PlaceFlow.
class TierPlacer final : public FlowPlacer {
 public:
  [[nodiscard]] EdgePlacement Place(const std::vector<EdgeTarget*>& targets,
                                    const PlacementQuery& query) override {
    return PlaceFlow(targets, query);
  }
  [[nodiscard]] std::optional<EdgePlacement> Preview(
      const std::vector<EdgeTarget*>& targets,
      const PlacementQuery& query) const override {
    return PlaceFlow(targets, query);
  }
};

}  // namespace sapphirestream

#endif  // SAPPHIRESTREAM_EDGE_FLOW_PLACER_H_
