#include "sapphirestream/target/hash_placer.h"

namespace sapphirestream {

Placement HashPlacer::Place(const PlacementRequest& request,
                            TimePoint /*now*/) {
  if (request.hash_target == kNoTarget) return {};
  open_.Add(request.hash_target);
  return {.kind = PlacementKind::kPlaced,
          .target = request.hash_target,
          .reason = ErrorKind::kNone};
}

void HashPlacer::Adopt(TargetId target, TimePoint /*now*/) {
  open_.Add(target);
}

void HashPlacer::End(TargetId target, TimePoint /*now*/) {
  open_.Remove(target);
}

std::vector<PlacementCount> HashPlacer::OwnCounts() const {
  return open_.List();
}

}  // namespace sapphirestream
