// Parser of the inner IP packet with its TCP or UDP header.
#ifndef SAPPHIRESTREAM_LINK_INNER_PACKET_H_
#define SAPPHIRESTREAM_LINK_INNER_PACKET_H_

#include <cstddef>
#include <cstdint>
#include <span>

#include "sapphirestream/base/endpoint.h"
#include "sapphirestream/base/error.h"
#include "sapphirestream/flow/packet.h"

namespace sapphirestream {

struct InnerPacket {
  Packet packet;
  // Where the client sent the packet to.
  Endpoint destination;
  // TCP acknowledgement number; 0 for UDP.
  std::uint32_t acknowledgement = 0;
  // Bytes from the start of the IP header to the TCP or UDP header, and to the
  // payload.
  std::size_t transport_offset = 0;
  std::size_t payload_offset = 0;
};

// Parses a whole IP packet of `service` and returns kNone. Checksums are left
// to the target. IPv6 hop-by-hop, destination and finished routing headers are
// skipped; other extension headers and other protocols are refused. Errors:
// kTruncated, kFragment, kBadInnerHeader.
[[nodiscard]] ErrorKind ParseInnerPacket(std::span<const std::byte> bytes,
                                         ServiceId service,
                                         InnerPacket& out) noexcept;

}  // namespace sapphirestream

#endif  // SAPPHIRESTREAM_LINK_INNER_PACKET_H_
