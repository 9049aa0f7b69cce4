// Selects targets by the load and performance that all instances of the failure
// domain observe. Addresses targets of different speed, full targets beside
// idle ones, and demand that exceeds the capacity of a failure domain; see
// docs/design/placement-under-load.md.
#ifndef SAPPHIRESTREAM_EDGE_BALANCED_PLACEMENT_H_
#define SAPPHIRESTREAM_EDGE_BALANCED_PLACEMENT_H_

#include <cstddef>
#include <cstdint>
#include <functional>
#include <optional>
#include <unordered_map>
#include <vector>

#include "sapphirestream/base/clock.h"
#include "sapphirestream/edge/flow_placer.h"
#include "sapphirestream/edge/spill_control.h"
#include "sapphirestream/edge/target_estimate.h"

namespace sapphirestream {

// Flows are distributed by weighted rendezvous hashing: of the targets with the
// best scores, the one with the lowest cost is selected, and the first one if
// the costs are similar. Copies of an opening packet thus mostly get the same
// target from instances whose views differ a little. Targets in other failure
// domains are used as SpillControl allows, or if there is no local one.
class BalancedPlacer final : public FlowPlacer {
 public:
  // Targets whose costs are compared. With three, one flow in 64 has only slow
  // ones if a quarter of the targets is slow.
  static constexpr std::size_t kCandidates = 3;
  // By the instance's own counts, a later candidate must be cheaper by more
  // than this percentage.
  static constexpr std::uint32_t kMinAdvantagePercent = 25;
  // Typical age of the counts of peers under load: two intervals of the
  // exchange, since its limit of bytes may delay messages. By these counts, a
  // later candidate is selected for a share of the flows: as large as the share
  // of this time by which it is faster. If all flows avoided the targets that
  // looked loaded, the others would get more additional requests until the next
  // counts than they can serve.
  static constexpr Duration kTypicalCountAge = std::chrono::milliseconds(200);

  // `performance` must outlive this object.
  explicit BalancedPlacer(const PerformanceSource& performance) noexcept
      : performance_(performance) {}

  [[nodiscard]] EdgePlacement Place(const std::vector<EdgeTarget*>& targets,
                                    const PlacementQuery& query) override;

  [[nodiscard]] std::optional<EdgePlacement> Preview(
      const std::vector<EdgeTarget*>& targets,
      const PlacementQuery& query) const override;

  // Returns the share of a service's new flows that may go to other failure
  // domains.
  [[nodiscard]] double SpillShare(ServiceNumber service,
                                  RequestKind kind) const noexcept;

 private:
  // Uploads have a control of their own: they use other domains later.
  struct SpillKey {
    ServiceNumber service{};
    bool upload = false;

    bool operator==(const SpillKey&) const = default;
  };
  struct SpillKeyHash {
    [[nodiscard]] std::size_t operator()(SpillKey key) const noexcept {
      return std::size_t{static_cast<std::uint32_t>(key.service)} * 2 +
             (key.upload ? 1 : 0);
    }
  };

  // Returns the control to update and to apply.
  using SpillOf = std::function<SpillControl&(SpillKey)>;

  [[nodiscard]] EdgePlacement Select(const std::vector<EdgeTarget*>& targets,
                                     const PlacementQuery& query,
                                     const SpillOf& spill_of) const;

  const PerformanceSource& performance_;
  // Eligible remote targets during a call of Place; kept to reuse its memory.
  mutable std::vector<EdgeTarget*> remote_;
  std::unordered_map<SpillKey, SpillControl, SpillKeyHash> spill_;
};

}  // namespace sapphirestream

#endif  // SAPPHIRESTREAM_EDGE_BALANCED_PLACEMENT_H_
