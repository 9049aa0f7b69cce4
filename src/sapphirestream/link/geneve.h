// Codec of the Geneve header (RFC 8926). Functions on the packet path return a
// plain ErrorKind, since there are no error details that LEAF would carry.
#ifndef SAPPHIRESTREAM_LINK_GENEVE_H_
#define SAPPHIRESTREAM_LINK_GENEVE_H_

#include <cstddef>
#include <cstdint>
#include <span>

#include "sapphirestream/base/error.h"
#include "sapphirestream/base/id.h"

namespace sapphirestream {

inline constexpr std::size_t kGeneveHeaderSize = 8;
inline constexpr std::uint16_t kGenevePort = 6081;
inline constexpr std::uint16_t kProtocolTypeIpv4 = 0x0800;
inline constexpr std::uint16_t kProtocolTypeIpv6 = 0x86dd;

struct GeneveHeader {
  // The virtual network identifier.
  ServiceId service{};
  std::uint16_t protocol_type = kProtocolTypeIpv4;
  // Offset of the inner packet in the datagram: header and options.
  std::size_t size = kGeneveHeaderSize;

  bool operator==(const GeneveHeader&) const = default;
};

// Writes a header without options into the first kGeneveHeaderSize bytes of
// `out`, which must have room for them. `header.size` is ignored.
void EncodeGeneve(const GeneveHeader& header,
                  std::span<std::byte> out) noexcept;

// Reads the header of a datagram and returns kNone. Options that are not
// critical are skipped. Errors: kTruncated, kBadGeneveVersion,
// kUnknownCriticalOption, kUnknownProtocolType.
[[nodiscard]] ErrorKind DecodeGeneve(std::span<const std::byte> datagram,
                                     GeneveHeader& header) noexcept;

// Returns the Geneve protocol type of an inner IP packet.
[[nodiscard]] std::uint16_t ProtocolTypeOf(
    std::span<const std::byte> inner) noexcept;

}  // namespace sapphirestream

#endif  // SAPPHIRESTREAM_LINK_GENEVE_H_
