// What the decision library needs to know of an inner packet.
#ifndef SAPPHIRESTREAM_FLOW_PACKET_H_
#define SAPPHIRESTREAM_FLOW_PACKET_H_

#include <cstdint>

#include "sapphirestream/flow/flow_key.h"

namespace sapphirestream {

struct Packet {
  FlowKey key;
  // HashFlow(key).
  std::uint64_t hash = 0;
  // TCP flags; all false for UDP.
  bool syn = false;
  bool ack = false;
  bool fin = false;
  bool rst = false;
  // TCP sequence number; 0 for UDP.
  std::uint32_t sequence = 0;
  // Bytes of TCP or UDP payload.
  std::uint32_t payload_size = 0;

  // Whether the packet opens a TCP flow. For UDP any packet may be the first.
  [[nodiscard]] bool opens() const noexcept { return syn && !ack; }
};

}  // namespace sapphirestream

#endif  // SAPPHIRESTREAM_FLOW_PACKET_H_
