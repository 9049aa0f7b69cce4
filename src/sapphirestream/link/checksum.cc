// The Internet checksum (RFC 1071).
#include "sapphirestream/link/checksum.h"

#include "sapphirestream/link/byte_order.h"
#include "sapphirestream/link/ip_header.h"

namespace sapphirestream {

void ChecksumAccumulator::Add(std::span<const std::byte> bytes) noexcept {
  std::size_t i = 0;
  for (; i + 1 < bytes.size(); i += 2) {
    sum_ += LoadBigEndian<std::uint16_t>(&bytes[i]);
  }
  if (i < bytes.size()) sum_ += std::to_integer<std::uint64_t>(bytes[i]) << 8;
}

std::uint16_t ChecksumAccumulator::Finish() const noexcept {
  std::uint64_t sum = sum_;
  while ((sum >> 16) != 0) sum = (sum & 0xffff) + (sum >> 16);
  return static_cast<std::uint16_t>(~sum);
}

void FillChecksums(std::span<std::byte> packet, std::size_t transport_offset,
                   std::uint8_t protocol) noexcept {
  using namespace internal;  // NOLINT(google-build-using-namespace)
  const bool is_v4 = std::to_integer<unsigned>(packet[0]) >> 4 == 4;
  std::span<std::byte> transport = packet.subspan(transport_offset);
  std::size_t offset = 16;  // of the checksum field in a TCP header
  if (protocol == kProtocolUdp) offset = 6;
  if (protocol == kProtocolIcmp || protocol == kProtocolIcmp6) offset = 2;
  StoreBigEndian<std::uint16_t>(&transport[offset], 0);
  ChecksumAccumulator sum;
  if (protocol != kProtocolIcmp) {
    sum.Add(is_v4 ? packet.subspan(12, 8) : packet.subspan(8, 32));
    sum.Add16(protocol);
    sum.Add16(static_cast<std::uint16_t>(transport.size()));
  }
  sum.Add(transport);
  std::uint16_t checksum = sum.Finish();
  // In UDP a zero field means "no checksum".
  if (protocol == kProtocolUdp && checksum == 0) checksum = 0xffff;
  StoreBigEndian<std::uint16_t>(&transport[offset], checksum);
  if (!is_v4) return;
  const std::size_t header_size =
      (std::to_integer<std::size_t>(packet[0]) & 0x0f) * 4;
  StoreBigEndian<std::uint16_t>(&packet[10], 0);
  ChecksumAccumulator header;
  header.Add(packet.first(header_size));
  StoreBigEndian<std::uint16_t>(&packet[10], header.Finish());
}

}  // namespace sapphirestream
