// Codec of the Geneve header (RFC 8926).
#include "sapphirestream/link/geneve.h"

#include "sapphirestream/link/byte_order.h"

namespace sapphirestream {
namespace {

constexpr unsigned kControlPacketFlag = 0x80;
constexpr unsigned kCriticalFlag = 0x40;
constexpr unsigned kCriticalType = 0x80;
constexpr std::size_t kOptionHeaderSize = 4;

// Checks the options. No option is supported, so every critical one is
// rejected. The critical bit of each option is checked as well as the critical
// flag of the header, since a header may contain a critical option without
// setting its flag.
ErrorKind CheckOptions(std::span<const std::byte> options) noexcept {
  while (!options.empty()) {
    if (options.size() < kOptionHeaderSize) return ErrorKind::kTruncated;
    if ((std::to_integer<unsigned>(options[2]) & kCriticalType) != 0) {
      return ErrorKind::kUnknownCriticalOption;
    }
    const std::size_t size =
        kOptionHeaderSize +
        (std::to_integer<std::size_t>(options[3]) & 0x1f) * 4;
    if (size > options.size()) return ErrorKind::kTruncated;
    options = options.subspan(size);
  }
  return ErrorKind::kNone;
}

}  // namespace

void EncodeGeneve(const GeneveHeader& header,
                  std::span<std::byte> out) noexcept {
  out[0] = std::byte{0};
  out[1] = std::byte{0};
  StoreBigEndian<std::uint16_t>(&out[2], header.protocol_type);
  StoreBigEndian<std::uint32_t>(&out[4], Value(header.service) << 8);
}

ErrorKind DecodeGeneve(std::span<const std::byte> datagram,
                       GeneveHeader& header) noexcept {
  if (datagram.size() < kGeneveHeaderSize) return ErrorKind::kTruncated;
  const auto first = std::to_integer<unsigned>(datagram[0]);
  const auto flags = std::to_integer<unsigned>(datagram[1]);
  if (first >> 6 != 0) return ErrorKind::kBadGeneveVersion;
  const std::size_t options_size = std::size_t{first & 0x3f} * 4;
  if (datagram.size() < kGeneveHeaderSize + options_size) {
    return ErrorKind::kTruncated;
  }
  // A control packet addresses the tunnel endpoint and carries no inner packet.
  if ((flags & kControlPacketFlag) != 0) {
    return ErrorKind::kUnknownCriticalOption;
  }
  if (options_size != 0) {
    const auto error =
        CheckOptions(datagram.subspan(kGeneveHeaderSize, options_size));
    if (error != ErrorKind::kNone) return error;
  }
  if ((flags & kCriticalFlag) != 0) return ErrorKind::kUnknownCriticalOption;
  header.protocol_type = LoadBigEndian<std::uint16_t>(&datagram[2]);
  if (header.protocol_type != kProtocolTypeIpv4 &&
      header.protocol_type != kProtocolTypeIpv6) {
    return ErrorKind::kUnknownProtocolType;
  }
  header.service = ServiceId{LoadBigEndian<std::uint32_t>(&datagram[4]) >> 8};
  header.size = kGeneveHeaderSize + options_size;
  return ErrorKind::kNone;
}

std::uint16_t ProtocolTypeOf(std::span<const std::byte> inner) noexcept {
  const bool is_v6 =
      !inner.empty() && std::to_integer<unsigned>(inner[0]) >> 4 == 6;
  return is_v6 ? kProtocolTypeIpv6 : kProtocolTypeIpv4;
}

}  // namespace sapphirestream
