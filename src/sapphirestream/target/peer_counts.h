// Open flows of the schedulers of other domains on the targets of a service.
#ifndef SAPPHIRESTREAM_TARGET_PEER_COUNTS_H_
#define SAPPHIRESTREAM_TARGET_PEER_COUNTS_H_

#include <cstdint>
#include <span>
#include <vector>

#include "sapphirestream/base/clock.h"
#include "sapphirestream/base/id.h"
#include "sapphirestream/target/placer.h"

namespace sapphirestream {

class PeerCounts {
 public:
  // Replaces the counts of a peer. Empty counts mean that it has no open flows,
  // for example because a successor has taken them over.
  void Set(InstanceId peer, std::span<const PlacementCount> counts,
           TimePoint now);
  // Drops peers that have been silent for too long. Returns whether any count
  // changed.
  bool Expire(TimePoint now);
  // Returns the counts of a peer, sorted by target; empty if the peer is
  // unknown.
  [[nodiscard]] std::span<const PlacementCount> CountsOf(
      InstanceId peer) const noexcept;
  // Returns the number of open flows of all peers on a target.
  [[nodiscard]] std::uint32_t SumOf(TargetId target) const noexcept;
  [[nodiscard]] bool empty() const noexcept { return peers_.empty(); }

 private:
  struct Peer {
    InstanceId id = kNoInstance;
    TimePoint last_update;
    // Sorted by target.
    std::vector<PlacementCount> counts;
  };

  // Sorted by id.
  std::vector<Peer> peers_;
};

}  // namespace sapphirestream

#endif  // SAPPHIRESTREAM_TARGET_PEER_COUNTS_H_
