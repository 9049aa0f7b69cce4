// Encoding and parsing of segments, with the codecs of module link, and of
// messages; parsing of ICMP port unreachable.
#include "testing/standins/segment.h"

#include <algorithm>
#include <cstddef>

#include "sapphirestream/link/inner_packet.h"

namespace sapphirestream::standins {
namespace {

// Sizes and offsets from RFC 791 and RFC 792.
constexpr std::size_t kIpHeaderSize = 20;
constexpr std::size_t kProtocolOffset = 9;
constexpr std::size_t kSourceOffset = 12;
constexpr std::size_t kDestinationOffset = 16;
constexpr std::size_t kIcmpHeaderSize = 8;
constexpr std::uint64_t kProtocolIcmp = 1;
constexpr std::uint64_t kPortUnreachable = 0x0303;  // type 3, code 3

std::uint64_t ReadBigEndian(std::span<const std::byte> in, std::size_t offset,
                            std::size_t bytes) {
  std::uint64_t value = 0;
  for (const std::byte b : in.subspan(offset, bytes)) {
    value = (value << 8) | std::to_integer<std::uint64_t>(b);
  }
  return value;
}

// Reads an IPv4 address and the corresponding port.
Endpoint EndpointAt(std::span<const std::byte> in, std::size_t address_offset,
                    std::size_t port_offset) {
  const auto byte = [&](std::size_t i) {
    return std::to_integer<std::uint8_t>(in[address_offset + i]);
  };
  return {MakeV4(byte(0), byte(1), byte(2), byte(3)),
          static_cast<std::uint16_t>(ReadBigEndian(in, port_offset, 2))};
}

// An ICMP error contains the start of the packet that caused it.
std::optional<Segment> ParseUnreachable(std::span<const std::byte> icmp) {
  constexpr std::size_t ports_offset = kIcmpHeaderSize + kIpHeaderSize;
  if (icmp.size() < ports_offset + 4 ||
      ReadBigEndian(icmp, 0, 2) != kPortUnreachable) {
    return std::nullopt;
  }
  Segment segment;
  segment.protocol = static_cast<Protocol>(
      ReadBigEndian(icmp, kIcmpHeaderSize + kProtocolOffset, 1));
  segment.unreachable = true;
  segment.destination =
      EndpointAt(icmp, kIcmpHeaderSize + kSourceOffset, ports_offset);
  segment.source =
      EndpointAt(icmp, kIcmpHeaderSize + kDestinationOffset, ports_offset + 2);
  return segment;
}

}  // namespace

std::vector<std::byte> BuildSegment(const Segment& segment) {
  return BuildPacket({.source = segment.source,
                      .destination = segment.destination,
                      .protocol = segment.protocol,
                      .syn = segment.syn,
                      .ack = segment.ack,
                      .fin = segment.fin,
                      .rst = segment.rst,
                      .sequence = segment.sequence,
                      .acknowledgement = segment.acknowledged,
                      .payload = segment.payload});
}

std::optional<Segment> ParseSegment(std::span<const std::byte> packet,
                                    ServiceId service) {
  if (packet.size() > kIpHeaderSize && ReadBigEndian(packet, 0, 1) == 0x45 &&
      ReadBigEndian(packet, kProtocolOffset, 1) == kProtocolIcmp) {
    return ParseUnreachable(packet.subspan(kIpHeaderSize));
  }
  InnerPacket inner;
  if (ParseInnerPacket(packet, service, inner) != ErrorKind::kNone) return {};
  const Packet& header = inner.packet;
  Segment segment{.protocol = header.key.protocol,
                  .source = {header.key.client, header.key.client_port},
                  .destination = inner.destination,
                  .syn = header.syn,
                  .ack = header.ack,
                  .fin = header.fin,
                  .rst = header.rst,
                  .sequence = header.sequence,
                  .acknowledged = inner.acknowledgement};
  const auto payload =
      packet.subspan(inner.payload_offset, header.payload_size);
  segment.payload.assign(reinterpret_cast<const char*>(payload.data()),
                         payload.size());
  return segment;
}

std::string BuildMessage(const Message& message, std::size_t size) {
  std::string out(std::max(size, kMinMessageSize), '.');
  out[0] = static_cast<char>(message.kind);
  for (std::size_t i = 0; i < 8; ++i) {
    out[1 + i] = static_cast<char>(message.number >> (8 * (7 - i)));
  }
  return out;
}

std::optional<Message> ParseMessage(std::string_view payload) {
  if (payload.size() < kMinMessageSize) return std::nullopt;
  const auto bytes = std::as_bytes(std::span(payload));
  return Message{static_cast<MessageKind>(ReadBigEndian(bytes, 0, 1)),
                 ReadBigEndian(bytes, 1, 8)};
}

}  // namespace sapphirestream::standins
