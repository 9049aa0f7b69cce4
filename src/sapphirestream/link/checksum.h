// The Internet checksum (RFC 1071).
#ifndef SAPPHIRESTREAM_LINK_CHECKSUM_H_
#define SAPPHIRESTREAM_LINK_CHECKSUM_H_

#include <cstddef>
#include <cstdint>
#include <span>

namespace sapphirestream {

// Accumulates the checksum over the parts of a packet. Every part except the
// last must have an even size.
class ChecksumAccumulator {
 public:
  void Add(std::span<const std::byte> bytes) noexcept;
  void Add16(std::uint16_t value) noexcept { sum_ += value; }
  // Returns the checksum in host byte order.
  [[nodiscard]] std::uint16_t Finish() const noexcept;

 private:
  std::uint64_t sum_ = 0;
};

// Writes the checksums of a complete IPv4 or IPv6 packet: that of the IPv4
// header and that of the TCP, UDP or ICMP part, which starts at
// `transport_offset` and has the IP protocol number `protocol`.
void FillChecksums(std::span<std::byte> packet, std::size_t transport_offset,
                   std::uint8_t protocol) noexcept;

}  // namespace sapphirestream

#endif  // SAPPHIRESTREAM_LINK_CHECKSUM_H_
