// Writes IP headers without options.
#include "sapphirestream/link/ip_writer.h"

#include <algorithm>

#include "sapphirestream/link/byte_order.h"
#include "sapphirestream/link/ip_header.h"

namespace sapphirestream::internal {

std::size_t IpHeaderSize(const IpAddress& address) noexcept {
  return address.is_v4() ? kIpv4HeaderSize : kIpv6HeaderSize;
}

void WriteIpHeader(std::span<std::byte> packet, const IpAddress& source,
                   const IpAddress& destination,
                   std::uint8_t protocol) noexcept {
  const std::size_t header_size = IpHeaderSize(source);
  std::fill_n(packet.begin(), header_size, std::byte{0});
  const auto copy = [&](const IpAddress& address, std::size_t skip,
                        std::size_t offset) {
    std::transform(address.bytes.begin() + static_cast<std::ptrdiff_t>(skip),
                   address.bytes.end(),
                   packet.begin() + static_cast<std::ptrdiff_t>(offset),
                   [](std::uint8_t byte) { return std::byte{byte}; });
  };
  if (source.is_v4()) {
    packet[0] = std::byte{0x45};
    StoreBigEndian(&packet[2], static_cast<std::uint16_t>(packet.size()));
    packet[6] = std::byte{0x40};  // don't fragment
    packet[8] = std::byte{kDefaultHopLimit};
    packet[9] = std::byte{protocol};
    copy(source, 12, 12);
    copy(destination, 12, 16);
    return;
  }
  packet[0] = std::byte{0x60};
  StoreBigEndian(&packet[4],
                 static_cast<std::uint16_t>(packet.size() - kIpv6HeaderSize));
  packet[6] = std::byte{protocol};
  packet[7] = std::byte{kDefaultHopLimit};
  copy(source, 0, 8);
  copy(destination, 0, 24);
}

}  // namespace sapphirestream::internal
