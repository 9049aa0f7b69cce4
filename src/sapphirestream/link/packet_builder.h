// Builds TCP and UDP packets with valid lengths and checksums, for answers,
// tests, stand-ins and benchmarks.
#ifndef SAPPHIRESTREAM_LINK_PACKET_BUILDER_H_
#define SAPPHIRESTREAM_LINK_PACKET_BUILDER_H_

#include <cstddef>
#include <cstdint>
#include <span>
#include <string_view>
#include <vector>

#include "sapphirestream/base/endpoint.h"
#include "sapphirestream/base/id.h"
#include "sapphirestream/flow/flow_key.h"

namespace sapphirestream {

// Both endpoints must be of the same address family.
struct PacketSpec {
  Endpoint source;
  Endpoint destination;
  Protocol protocol = Protocol::kTcp;
  // TCP only; ignored for UDP.
  bool syn = false;
  bool ack = false;
  bool fin = false;
  bool rst = false;
  std::uint32_t sequence = 0;
  std::uint32_t acknowledgement = 0;
  // At most 65,000 bytes.
  std::string_view payload;
};

// Returns the IP packet with its TCP or UDP header and payload.
[[nodiscard]] std::vector<std::byte> BuildPacket(const PacketSpec& spec);

// Returns the datagram that carries an inner packet to or from an instance.
[[nodiscard]] std::vector<std::byte> EncapsulateInGeneve(
    ServiceId service, std::span<const std::byte> inner);

}  // namespace sapphirestream

#endif  // SAPPHIRESTREAM_LINK_PACKET_BUILDER_H_
