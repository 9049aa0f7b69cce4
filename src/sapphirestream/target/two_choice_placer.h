// Placement on the less loaded of two targets selected by hash ("power of two
// choices"); a baseline for benchmarks.
#ifndef SAPPHIRESTREAM_TARGET_TWO_CHOICE_PLACER_H_
#define SAPPHIRESTREAM_TARGET_TWO_CHOICE_PLACER_H_

#include <span>
#include <vector>

#include "sapphirestream/contract/service.h"
#include "sapphirestream/target/open_counts.h"
#include "sapphirestream/target/placer.h"

namespace sapphirestream {

// Compares the last reported load plus this placer's own placements since then,
// per slot or connection. Ignores other placers and never waits.
class TwoChoicePlacer final : public Placer {
 public:
  explicit TwoChoicePlacer(const Service& service);

  [[nodiscard]] Placement Place(const PlacementRequest& request,
                                TimePoint now) override;
  void Adopt(TargetId target, TimePoint now) override;
  void End(TargetId target, TimePoint now) override;
  void Report(const LoadReport& report, TimePoint now) override;
  void SetPeerCounts(InstanceId /*peer*/,
                     std::span<const PlacementCount> /*counts*/,
                     TimePoint /*now*/) override {}
  [[nodiscard]] std::vector<PlacementCount> OwnCounts() const override;

 private:
  struct Candidate {
    TargetId id = kNoTarget;
    std::uint32_t capacity = 1;
    // Reported load plus own placements minus own ends since the report.
    std::int64_t load = 0;
  };

  [[nodiscard]] Candidate* Find(TargetId target);

  FlowKind kind_;
  // Targets that are not draining, sorted by id.
  std::vector<Candidate> candidates_;
  OpenCounts open_;
};

}  // namespace sapphirestream

#endif  // SAPPHIRESTREAM_TARGET_TWO_CHOICE_PLACER_H_
