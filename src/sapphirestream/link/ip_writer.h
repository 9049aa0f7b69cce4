// Writes IP headers without options.
#ifndef SAPPHIRESTREAM_LINK_IP_WRITER_H_
#define SAPPHIRESTREAM_LINK_IP_WRITER_H_

#include <cstddef>
#include <cstdint>
#include <span>

#include "sapphirestream/base/endpoint.h"

namespace sapphirestream::internal {

// Returns the size of the header that WriteIpHeader writes for the address
// family.
[[nodiscard]] std::size_t IpHeaderSize(const IpAddress& address) noexcept;

// Writes the header of a packet that occupies all of `packet`. Both addresses
// must be of the same family. The IPv4 header checksum is left at zero.
void WriteIpHeader(std::span<std::byte> packet, const IpAddress& source,
                   const IpAddress& destination,
                   std::uint8_t protocol) noexcept;

}  // namespace sapphirestream::internal

#endif  // SAPPHIRESTREAM_LINK_IP_WRITER_H_
