// Parsed header fields of an inner packet that steering decisions use.
#ifndef SAPPHIRESTREAM_FLOW_PACKET_H_
#define SAPPHIRESTREAM_FLOW_PACKET_H_

#include <cstdint>

#include "sapphirestream/flow/flow_key.h"

namespace sapphirestream {

struct Packet {
  FlowKey key;
  // Equals HashFlow(key).
  std::uint64_t hash = 0;
  // TCP flags; all false for UDP.
  bool syn = false;
  bool ack = false;
  bool fin = false;
  bool rst = false;
  // TCP sequence number; 0 for UDP.
  std::uint32_t sequence = 0;
  // TCP or UDP payload size in bytes.
  std::uint32_t payload_size = 0;

  // Returns whether the packet opens a TCP flow. Any UDP packet may be the
  // first of its flow.
  [[nodiscard]] bool opens() const noexcept { return syn && !ack; }
};

}  // namespace sapphirestream

#endif  // SAPPHIRESTREAM_FLOW_PACKET_H_
