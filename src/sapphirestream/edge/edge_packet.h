// A client's packet, decoded, and the answers that this layer makes itself.
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
  // Address and port of a route.
  V4Endpoint service;
  std::uint32_t sequence = 0;
  // For an opening packet: how many copies were sent before.
  std::uint32_t acknowledged = 0;
  FlowToken token{};
  bool opens = false;         // SYN
  bool acknowledges = false;  // ACK
  bool finishes = false;      // FIN
  bool resets = false;        // RST
  std::span<const std::byte> payload;
  // Id of the request that begins in this packet; empty if none does.
  std::string_view request_id;
  // The whole packet as received; outlived by the datagram's buffer.
  std::span<const std::byte> bytes;
};

// Ends a flow at its client.
struct ClientReset {
  V4Endpoint client;
  V4Endpoint service;
  // What the client acknowledged last; 0 while the flow is not open.
  std::uint32_t sequence = 0;
};

}  // namespace sapphirestream

#endif  // SAPPHIRESTREAM_EDGE_EDGE_PACKET_H_
