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

// Sends the counts that changed since the last message, and all of them now and
// then, which repairs lost messages.
class CountExchange {
 public:
  CountExchange(Duration interval, SteeringSink& sink);

  // Sends what is due for one service to the schedulers of the other domains.
  void OnTimer(const Snapshot& snapshot, const ServiceView& view,
               const Placer& placer, TimePoint now);
  // Merges a message into what is known of its sender and passes it on.
  void OnCounts(InstanceId from, const PlacementCounts& message, Placer& placer,
                TimePoint now);
  // Forgets the counts of an instance that is gone.
  void ErasePeer(ServiceId service, InstanceId peer);
  // Forgets a service.
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
