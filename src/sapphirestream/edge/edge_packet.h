// A client's decoded packet, and the resets that an edge instance sends.
#ifndef SAPPHIRESTREAM_EDGE_EDGE_PACKET_H_
#define SAPPHIRESTREAM_EDGE_EDGE_PACKET_H_

#include <cstddef>
#include <cstdint>
#include <span>
#include <string_view>

#include "sapphirestream/edge/fwd.h"
#include "sapphirestream/edge/v4_endpoint.h"

namespace sapphirestream {

struct EdgePacket {
  V4Endpoint client;
  // Virtual address and port of a route.
  V4Endpoint service;
  std::uint32_t sequence = 0;
  // Acknowledgement number. In an opening packet (SYN), the number of times it
  // was sent before.
  std::uint32_t acknowledged = 0;
  FlowToken token{};
  bool opens = false;         // SYN
  bool acknowledges = false;  // ACK
  bool finishes = false;      // FIN
  bool resets = false;        // RST
  std::span<const std::byte> payload;
  // Id of the request that starts in this packet; empty if none does.
  std::string_view request_id;
  // The packet as received. Refers to the datagram's buffer.
  std::span<const std::byte> bytes;
};

// A reset (RST) to a flow's client.
struct ClientReset {
  V4Endpoint client;
  V4Endpoint service;
  // The client's last acknowledgement; 0 until the flow is established.
  std::uint32_t sequence = 0;
};

}  // namespace sapphirestream

#endif  // SAPPHIRESTREAM_EDGE_EDGE_PACKET_H_
