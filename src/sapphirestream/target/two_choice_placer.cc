#include "sapphirestream/target/two_choice_placer.h"

#include <algorithm>

#include "sapphirestream/base/hash.h"

namespace sapphirestream {
namespace {

// Makes the second choice independent of the bucket and of whether the flow is
// placed by load.
constexpr std::uint64_t kSecondChoiceSeed = 0x2c401ce5;

}  // namespace

TwoChoicePlacer::TwoChoicePlacer(const Service& service) : kind_(service.kind) {
  for (const Target& target : service.targets) {
    if (!target.IsInTableOf(service.version)) continue;
    candidates_.push_back({target.id, kind_ == FlowKind::kRequest
                                          ? target.slots
                                          : target.max_connections});
  }
}

TwoChoicePlacer::Candidate* TwoChoicePlacer::Find(TargetId target) {
  const auto it = std::lower_bound(
      candidates_.begin(), candidates_.end(), target,
      [](const Candidate& c, TargetId id) { return c.id < id; });
  return it != candidates_.end() && it->id == target ? &*it : nullptr;
}

Placement TwoChoicePlacer::Place(const PlacementRequest& request,
                                 TimePoint /*now*/) {
  if (candidates_.empty()) return {};
  Candidate* second =
      &candidates_[HashPair(request.flow_hash, kSecondChoiceSeed) %
                   candidates_.size()];
  Candidate* first = Find(request.hash_target);
  Candidate* chosen = first != nullptr && first->load * second->capacity <=
                                              second->load * first->capacity
                          ? first
                          : second;
  ++chosen->load;
  open_.Add(chosen->id);
  return {.kind = PlacementKind::kPlaced,
          .target = chosen->id,
          .reason = ErrorKind::kNone};
}

void TwoChoicePlacer::Adopt(TargetId target, TimePoint /*now*/) {
  open_.Add(target);
  if (Candidate* candidate = Find(target)) ++candidate->load;
}

void TwoChoicePlacer::End(TargetId target, TimePoint /*now*/) {
  open_.Remove(target);
  if (Candidate* candidate = Find(target)) {
    candidate->load = std::max<std::int64_t>(0, candidate->load - 1);
  }
}

void TwoChoicePlacer::Report(const LoadReport& report, TimePoint /*now*/) {
  if (Candidate* candidate = Find(report.target)) {
    candidate->load = kind_ == FlowKind::kRequest ? report.busy_slots
                                                  : report.open_connections;
  }
}

std::vector<PlacementCount> TwoChoicePlacer::OwnCounts() const {
  return open_.List();
}

}  // namespace sapphirestream
