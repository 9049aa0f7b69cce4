// Interface for the placement of first packets by load.
#ifndef SAPPHIRESTREAM_TARGET_PLACER_H_
#define SAPPHIRESTREAM_TARGET_PLACER_H_

#include <cstdint>
#include <memory>
#include <span>
#include <vector>

#include "sapphirestream/base/clock.h"
#include "sapphirestream/base/error.h"
#include "sapphirestream/base/id.h"
#include "sapphirestream/contract/preset.h"
#include "sapphirestream/contract/service.h"

namespace sapphirestream {

struct PlacementRequest {
  std::uint64_t flow_hash = 0;
  // The target in the lookup table; kNoTarget if the table is empty.
  TargetId hash_target = kNoTarget;
  // Time for which the packet has been held; zero on the first attempt.
  Duration waited{};
};

enum class PlacementKind : std::uint8_t {
  kPlaced,   // the flow is counted as open on `target`
  kWait,     // no slot is free; retry until the deadline
  kRefused,  // refused for `reason`; nothing is counted
};

struct Placement {
  PlacementKind kind = PlacementKind::kRefused;
  TargetId target = kNoTarget;
  ErrorKind reason = ErrorKind::kNoTargetAvailable;
  // Whether the target is outside the scheduler's failure domain.
  bool spilled = false;
};

// Load figures reported by a target; may be late or wrong.
struct LoadReport {
  TargetId target = kNoTarget;
  std::uint32_t busy_slots = 0;
  std::uint32_t open_connections = 0;
  bool shedding = false;
  // Time of the measurement, by the monotonic clock of the receiver.
  TimePoint taken;
};

// Number of open flows that one scheduler has placed on one target.
struct PlacementCount {
  TargetId target = kNoTarget;
  std::uint32_t open = 0;

  bool operator==(const PlacementCount&) const = default;
};

// Places the flows of one service that are placed by load, and keeps exact
// counts of them.
class Placer {
 public:
  virtual ~Placer() = default;
  // Chooses a target for a first packet and counts the flow as open on it.
  [[nodiscard]] virtual Placement Place(const PlacementRequest& request,
                                        TimePoint now) = 0;
  // Counts a flow that was placed by another instance and is now owned by this
  // one.
  virtual void Adopt(TargetId target, TimePoint now) = 0;
  // Ends a flow that was counted by Place or Adopt.
  virtual void End(TargetId target, TimePoint now) = 0;
  // Handles the load report of a target.
  virtual void Report(const LoadReport& report, TimePoint now) = 0;
  // Replaces the counts of open flows of the scheduler `peer` of another
  // domain.
  virtual void SetPeerCounts(InstanceId peer,
                             std::span<const PlacementCount> counts,
                             TimePoint now) = 0;
  // Returns the number of this placer's own open flows per target, sorted by
  // target.
  [[nodiscard]] virtual std::vector<PlacementCount> OwnCounts() const = 0;
  // Called when a flow on the target makes progress, that is, its client sends
  // new data.
  virtual void OnProgress(TargetId /*target*/, TimePoint /*now*/) {}
  // Called when a flow on the target stalls: its client retransmits the first
  // packet, which the target has not answered.
  virtual void OnStall(TargetId /*target*/, TimePoint /*now*/) {}
};

// Creates and updates the placers of services.
class PlacerFactory {
 public:
  virtual ~PlacerFactory() = default;
  // Creates the placer of a service for an instance in `own_domain`.
  [[nodiscard]] virtual std::unique_ptr<Placer> Make(const Service& service,
                                                     const Preset& preset,
                                                     DomainId own_domain) = 0;
  // Updates a placer after a change of its service or of the preset. Flows that
  // are already counted stay counted.
  virtual void Update(Placer& placer, const Service& service,
                      const Preset& preset) = 0;
};

}  // namespace sapphirestream

#endif  // SAPPHIRESTREAM_TARGET_PLACER_H_
