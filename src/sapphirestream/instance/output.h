// Datagram outputs of the control thread; implemented by sockets and by test
// fakes.
#ifndef SAPPHIRESTREAM_INSTANCE_OUTPUT_H_
#define SAPPHIRESTREAM_INSTANCE_OUTPUT_H_

#include <cstddef>
#include <span>

#include "sapphirestream/base/endpoint.h"
#include "sapphirestream/base/id.h"
#include "sapphirestream/link/peer_message.h"

namespace sapphirestream {

// Sends encapsulated packets to targets and clients.
class PacketOutput {
 public:
  virtual ~PacketOutput() = default;
  // Returns false if the datagram was not sent.
  virtual bool Send(const Endpoint& to,
                    std::span<const std::byte> datagram) = 0;
};

// Sends messages to other instances. Delivery is not guaranteed.
class PeerOutput {
 public:
  virtual ~PeerOutput() = default;
  virtual void Send(InstanceId to, const PeerMessage& message) = 0;
};

}  // namespace sapphirestream

#endif  // SAPPHIRESTREAM_INSTANCE_OUTPUT_H_
