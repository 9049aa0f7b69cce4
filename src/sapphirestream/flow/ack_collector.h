// Collects acknowledgements, so that several batches share a datagram.
#ifndef SAPPHIRESTREAM_FLOW_ACK_COLLECTOR_H_
#define SAPPHIRESTREAM_FLOW_ACK_COLLECTOR_H_

#include <map>

#include "sapphirestream/base/clock.h"
#include "sapphirestream/base/id.h"
#include "sapphirestream/flow/message.h"

namespace sapphirestream {

class SteeringSink;

class AckCollector {
 public:
  explicit AckCollector(SteeringSink& sink) : sink_(sink) {}

  // Acknowledges a batch within kAckDelay, at once if it is urgent.
  void Add(InstanceId to, const RecordBatch& batch, bool accepted,
           TimePoint now);
  // Sends what is due.
  void OnTimer(TimePoint now);

 private:
  struct Pending {
    TimePoint due;
    RecordAck ack;
  };

  SteeringSink& sink_;
  std::map<InstanceId, Pending> pending_;
};

}  // namespace sapphirestream

#endif  // SAPPHIRESTREAM_FLOW_ACK_COLLECTOR_H_
