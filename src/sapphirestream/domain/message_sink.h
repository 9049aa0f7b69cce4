// Interface through which this module sends its messages.
#ifndef SAPPHIRESTREAM_DOMAIN_MESSAGE_SINK_H_
#define SAPPHIRESTREAM_DOMAIN_MESSAGE_SINK_H_

#include "sapphirestream/base/id.h"
#include "sapphirestream/domain/message.h"

namespace sapphirestream {

// Sends messages to other instances; each may be lost, delayed or reordered.
// Implementations must not call back into the sender.
class DomainSink {
 public:
  virtual ~DomainSink() = default;
  virtual void Send(InstanceId to, const DomainMessage& message) = 0;
};

}  // namespace sapphirestream

#endif  // SAPPHIRESTREAM_DOMAIN_MESSAGE_SINK_H_
