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
  // Destination address and port of the packet.
  Endpoint destination;
  // TCP acknowledgement number; 0 for UDP.
  std::uint32_t acknowledgement = 0;
  // Offsets of the TCP or UDP header and of the payload from the start of the
  // IP header.
  std::size_t transport_offset = 0;
  std::size_t payload_offset = 0;
};

// Parses a complete IP packet of `service` and returns kNone. Checksums are not
// verified here but by the target. IPv6 hop-by-hop and destination options and
// routing headers without segments left are skipped; other extension headers
// and other protocols are rejected. Errors: kTruncated, kFragment,
// kBadInnerHeader.
[[nodiscard]] ErrorKind ParseInnerPacket(std::span<const std::byte> bytes,
                                         ServiceId service,
                                         InnerPacket& out) noexcept;

}  // namespace sapphirestream

#endif  // SAPPHIRESTREAM_LINK_INNER_PACKET_H_
