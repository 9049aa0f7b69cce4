// Parser of the inner IP packet with its TCP or UDP header.
#include "sapphirestream/link/inner_packet.h"

#include <algorithm>

#include "sapphirestream/link/byte_order.h"
#include "sapphirestream/link/ip_header.h"

namespace sapphirestream {
namespace {

using internal::kIpv4HeaderSize;
using internal::kIpv6HeaderSize;
using internal::kTcpHeaderSize;
using internal::kUdpHeaderSize;

// Packets with more extension headers are rejected, which bounds the parse
// time.
constexpr int kMaxExtensionHeaders = 8;

// More-fragments flag and fragment offset, without the don't-fragment flag.
constexpr unsigned kFragmentMask = 0x3fff;

enum ExtensionHeader : std::uint8_t {
  kHopByHop = 0,
  kRouting = 43,
  kFragmentHeader = 44,
  kDestinationOptions = 60,
};

IpAddress ReadV4(const std::byte* b) noexcept {
  return MakeV4(
      std::to_integer<std::uint8_t>(b[0]), std::to_integer<std::uint8_t>(b[1]),
      std::to_integer<std::uint8_t>(b[2]), std::to_integer<std::uint8_t>(b[3]));
}

IpAddress ReadV6(const std::byte* b) noexcept {
  IpAddress address;
  std::transform(b, b + 16, address.bytes.begin(), [](std::byte byte) {
    return std::to_integer<std::uint8_t>(byte);
  });
  return address;
}

ErrorKind CheckLength(std::size_t declared, std::size_t actual) noexcept {
  if (declared > actual) return ErrorKind::kTruncated;
  return declared == actual ? ErrorKind::kNone : ErrorKind::kBadInnerHeader;
}

ErrorKind ParseV4(std::span<const std::byte> bytes, InnerPacket& out,
                  std::uint8_t& protocol) noexcept {
  if (bytes.size() < kIpv4HeaderSize) return ErrorKind::kTruncated;
  const std::size_t header_size =
      (std::to_integer<std::size_t>(bytes[0]) & 0x0f) * 4;
  const std::size_t total = LoadBigEndian<std::uint16_t>(&bytes[2]);
  if (header_size < kIpv4HeaderSize || total < header_size) {
    return ErrorKind::kBadInnerHeader;
  }
  if (const auto error = CheckLength(total, bytes.size());
      error != ErrorKind::kNone) {
    return error;
  }
  if ((LoadBigEndian<std::uint16_t>(&bytes[6]) & kFragmentMask) != 0) {
    return ErrorKind::kFragment;
  }
  protocol = std::to_integer<std::uint8_t>(bytes[9]);
  out.packet.key.client = ReadV4(&bytes[12]);
  out.destination.address = ReadV4(&bytes[16]);
  out.transport_offset = header_size;
  return ErrorKind::kNone;
}

ErrorKind SkipExtensionHeaders(std::span<const std::byte> bytes,
                               std::size_t& offset,
                               std::uint8_t& next) noexcept {
  for (int i = 0; i <= kMaxExtensionHeaders; ++i) {
    if (next == internal::kProtocolTcp || next == internal::kProtocolUdp) {
      return ErrorKind::kNone;
    }
    if (next == kFragmentHeader) return ErrorKind::kFragment;
    const bool is_known =
        next == kHopByHop || next == kRouting || next == kDestinationOptions;
    // Hop-by-hop options are valid directly after the IPv6 header only.
    if (!is_known || (next == kHopByHop && i != 0)) {
      return ErrorKind::kBadInnerHeader;
    }
    if (offset + 8 > bytes.size()) return ErrorKind::kTruncated;
    // With segments left, the destination address is not the final one.
    if (next == kRouting && bytes[offset + 3] != std::byte{0}) {
      return ErrorKind::kBadInnerHeader;
    }
    next = std::to_integer<std::uint8_t>(bytes[offset]);
    offset += (std::to_integer<std::size_t>(bytes[offset + 1]) + 1) * 8;
    if (offset > bytes.size()) return ErrorKind::kTruncated;
  }
  return ErrorKind::kBadInnerHeader;
}

ErrorKind ParseV6(std::span<const std::byte> bytes, InnerPacket& out,
                  std::uint8_t& protocol) noexcept {
  if (bytes.size() < kIpv6HeaderSize) return ErrorKind::kTruncated;
  const std::size_t total =
      kIpv6HeaderSize + LoadBigEndian<std::uint16_t>(&bytes[4]);
  if (const auto error = CheckLength(total, bytes.size());
      error != ErrorKind::kNone) {
    return error;
  }
  out.packet.key.client = ReadV6(&bytes[8]);
  out.destination.address = ReadV6(&bytes[24]);
  // A mapped address on the wire would alias an IPv4 client.
  if (out.packet.key.client.is_v4() || out.destination.address.is_v4()) {
    return ErrorKind::kBadInnerHeader;
  }
  protocol = std::to_integer<std::uint8_t>(bytes[6]);
  out.transport_offset = kIpv6HeaderSize;
  return SkipExtensionHeaders(bytes, out.transport_offset, protocol);
}

ErrorKind ParseTcp(std::span<const std::byte> tcp, InnerPacket& out) noexcept {
  if (tcp.size() < kTcpHeaderSize) return ErrorKind::kTruncated;
  const std::size_t header_size =
      (std::to_integer<std::size_t>(tcp[12]) >> 4) * 4;
  if (header_size < kTcpHeaderSize) return ErrorKind::kBadInnerHeader;
  if (header_size > tcp.size()) return ErrorKind::kTruncated;
  const auto flags = std::to_integer<std::uint8_t>(tcp[13]);
  Packet& packet = out.packet;
  packet.key.protocol = Protocol::kTcp;
  packet.syn = (flags & internal::kTcpSyn) != 0;
  packet.ack = (flags & internal::kTcpAck) != 0;
  packet.fin = (flags & internal::kTcpFin) != 0;
  packet.rst = (flags & internal::kTcpRst) != 0;
  packet.sequence = LoadBigEndian<std::uint32_t>(&tcp[4]);
  packet.payload_size = static_cast<std::uint32_t>(tcp.size() - header_size);
  out.acknowledgement = LoadBigEndian<std::uint32_t>(&tcp[8]);
  out.payload_offset = out.transport_offset + header_size;
  return ErrorKind::kNone;
}

ErrorKind ParseUdp(std::span<const std::byte> udp, InnerPacket& out) noexcept {
  if (udp.size() < kUdpHeaderSize) return ErrorKind::kTruncated;
  const std::size_t length = LoadBigEndian<std::uint16_t>(&udp[4]);
  if (length < kUdpHeaderSize) return ErrorKind::kBadInnerHeader;
  if (const auto error = CheckLength(length, udp.size());
      error != ErrorKind::kNone) {
    return error;
  }
  Packet& packet = out.packet;
  packet.key.protocol = Protocol::kUdp;
  packet.syn = packet.ack = packet.fin = packet.rst = false;
  packet.sequence = 0;
  packet.payload_size = static_cast<std::uint32_t>(udp.size() - kUdpHeaderSize);
  out.acknowledgement = 0;
  out.payload_offset = out.transport_offset + kUdpHeaderSize;
  return ErrorKind::kNone;
}

}  // namespace

ErrorKind ParseInnerPacket(std::span<const std::byte> bytes, ServiceId service,
                           InnerPacket& out) noexcept {
  if (bytes.empty()) return ErrorKind::kTruncated;
  const unsigned version = std::to_integer<unsigned>(bytes[0]) >> 4;
  std::uint8_t protocol = 0;
  ErrorKind error = ErrorKind::kBadInnerHeader;
  if (version == 4) error = ParseV4(bytes, out, protocol);
  if (version == 6) error = ParseV6(bytes, out, protocol);
  if (error != ErrorKind::kNone) return error;
  const auto transport = bytes.subspan(out.transport_offset);
  if (protocol == internal::kProtocolTcp) {
    error = ParseTcp(transport, out);
  } else if (protocol == internal::kProtocolUdp) {
    error = ParseUdp(transport, out);
  } else {
    error = ErrorKind::kBadInnerHeader;
  }
  if (error != ErrorKind::kNone) return error;
  out.packet.key.service = service;
  out.packet.key.client_port = LoadBigEndian<std::uint16_t>(transport.data());
  out.destination.port = LoadBigEndian<std::uint16_t>(transport.data() + 2);
  out.packet.hash = HashFlow(out.packet.key);
  return ErrorKind::kNone;
}

}  // namespace sapphirestream
