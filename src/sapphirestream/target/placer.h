// The interface through which a decider places first packets by load.
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
  // Where the lookup table sends the flow; kNoTarget if it is empty.
  TargetId hash_target = kNoTarget;
  // How long the packet has been held; zero at the first attempt.
  Duration waited{};
};

enum class PlacementKind : std::uint8_t {
  kPlaced,   // `target` has the flow and its place is counted
  kWait,     // no slot is free; ask again when one is, until the deadline
  kRefused,  // `reason` says why; nothing is counted
};

struct Placement {
  PlacementKind kind = PlacementKind::kRefused;
  TargetId target = kNoTarget;
  ErrorKind reason = ErrorKind::kNoTargetAvailable;
  // Whether the target is outside the decider's failure domain.
  bool spilled = false;
};

// What a target says of itself; may be late or wrong.
struct LoadReport {
  TargetId target = kNoTarget;
  std::uint32_t busy_slots = 0;
  std::uint32_t open_connections = 0;
  bool shedding = false;
  // When the target took the figures, by the receiver's monotonic clock.
  TimePoint taken;
};

// Open flows that one scheduler has placed on one target.
struct PlacementCount {
  TargetId target = kNoTarget;
  std::uint32_t open = 0;

  bool operator==(const PlacementCount&) const = default;
};

// Places the load-placed flows of one service and keeps exact counts of them.
class Placer {
 public:
  virtual ~Placer() = default;
  // Chooses a target for a first packet and counts the flow as open there.
  [[nodiscard]] virtual Placement Place(const PlacementRequest& request,
                                        TimePoint now) = 0;
  // Counts a flow that another instance placed and this one now owns.
  virtual void Adopt(TargetId target, TimePoint now) = 0;
  // Ends a flow counted by Place or Adopt.
  virtual void End(TargetId target, TimePoint now) = 0;
  // Takes a target's report into account.
  virtual void Report(const LoadReport& report, TimePoint now) = 0;
  // Replaces what the scheduler `peer` of another domain has open.
  virtual void SetPeerCounts(InstanceId peer,
                             std::span<const PlacementCount> counts,
                             TimePoint now) = 0;
  // Returns this placer's own open flows by target, sorted by target.
  [[nodiscard]] virtual std::vector<PlacementCount> OwnCounts() const = 0;
  // Tells that a flow on the target made progress: its client went on to new
  // data.
  virtual void Progressed(TargetId /*target*/, TimePoint /*now*/) {}
  // Tells that a flow on the target stalled: its client repeats its first
  // packet, which the target has not answered.
  virtual void Stalled(TargetId /*target*/, TimePoint /*now*/) {}
};

// Makes the placer of a service; called again when the service changes.
class PlacerFactory {
 public:
  virtual ~PlacerFactory() = default;
  // Returns the placer of the service for an instance in `own_domain`.
  [[nodiscard]] virtual std::unique_ptr<Placer> Make(const Service& service,
                                                     const Preset& preset,
                                                     DomainId own_domain) = 0;
  // Updates a placer after its service or the preset changed; flows already
  // counted stay counted.
  virtual void Update(Placer& placer, const Service& service,
                      const Preset& preset) = 0;
};

}  // namespace sapphirestream

#endif  // SAPPHIRESTREAM_TARGET_PLACER_H_
