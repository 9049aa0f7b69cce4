// Placement by hash only; a baseline for benchmarks.
#ifndef SAPPHIRESTREAM_TARGET_HASH_PLACER_H_
#define SAPPHIRESTREAM_TARGET_HASH_PLACER_H_

#include <span>
#include <vector>

#include "sapphirestream/target/open_counts.h"
#include "sapphirestream/target/placer.h"

namespace sapphirestream {

// Places every flow on its hash target regardless of load.
class HashPlacer final : public Placer {
 public:
  [[nodiscard]] Placement Place(const PlacementRequest& request,
                                TimePoint now) override;
  void Adopt(TargetId target, TimePoint now) override;
  void End(TargetId target, TimePoint now) override;
  // Load reports are ignored.
  void Report(const LoadReport& /*report*/, TimePoint /*now*/) override {}
  void SetPeerCounts(InstanceId /*peer*/,
                     std::span<const PlacementCount> /*counts*/,
                     TimePoint /*now*/) override {}
  [[nodiscard]] std::vector<PlacementCount> OwnCounts() const override;

 private:
  OpenCounts open_;
};

}  // namespace sapphirestream

#endif  // SAPPHIRESTREAM_TARGET_HASH_PLACER_H_
