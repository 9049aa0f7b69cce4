// Batches acknowledgements, so that one datagram can acknowledge several record
// batches.
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

  // Queues the acknowledgement of a batch. It is sent within kAckDelay, or at
  // once if the batch is urgent.
  void Add(InstanceId to, const RecordBatch& batch, bool accepted,
           TimePoint now);
  // Sends the acknowledgements that are due.
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
