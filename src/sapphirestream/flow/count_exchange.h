// Exchange of placement counts between the schedulers of a service.
#ifndef SAPPHIRESTREAM_FLOW_COUNT_EXCHANGE_H_
#define SAPPHIRESTREAM_FLOW_COUNT_EXCHANGE_H_

#include <map>
#include <unordered_map>
#include <vector>

#include "sapphirestream/base/clock.h"
#include "sapphirestream/base/id.h"
#include "sapphirestream/flow/message.h"
#include "sapphirestream/flow/snapshot.h"
#include "sapphirestream/target/placer.h"

namespace sapphirestream {

class SteeringSink;

// Sends the counts that changed since the last message, and periodically all of
// them, which repairs lost messages.
class CountExchange {
 public:
  CountExchange(Duration interval, SteeringSink& sink);

  // Sends the due counts of one service to its schedulers in the other domains.
  void OnTimer(const Snapshot& snapshot, const ServiceView& view,
               const Placer& placer, TimePoint now);
  // Merges a message into the counts known of its sender and passes the result
  // to the placer.
  void OnCounts(InstanceId from, const PlacementCounts& message, Placer& placer,
                TimePoint now);
  // Drops the counts of an instance that is no longer a member.
  void ErasePeer(ServiceId service, InstanceId peer);
  // Drops all state of a service.
  void Erase(ServiceId service);

 private:
  using Counts = std::map<TargetId, std::uint32_t>;
  struct State {
    TimePoint next_changes;
    TimePoint next_full;
    Counts sent;
    std::unordered_map<InstanceId, Counts> received;
  };

  Duration interval_;
  SteeringSink& sink_;
  std::unordered_map<ServiceId, State> services_;
};

}  // namespace sapphirestream

#endif  // SAPPHIRESTREAM_FLOW_COUNT_EXCHANGE_H_
