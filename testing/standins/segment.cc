// Segments by the codecs of module link; messages; ICMP port unreachable.
#include "testing/standins/segment.h"

#include <algorithm>
#include <cstddef>

#include "sapphirestream/link/inner_packet.h"

namespace sapphirestream::standins {
namespace {

// Sizes and offsets of RFC 791 and RFC 792.
constexpr std::size_t kIpBytes = 20;
constexpr std::size_t kProtocolAt = 9;
constexpr std::size_t kSourceAt = 12;
constexpr std::size_t kDestinationAt = 16;
constexpr std::size_t kIcmpBytes = 8;
constexpr std::uint64_t kProtocolIcmp = 1;
constexpr std::uint64_t kPortUnreachable = 0x0303;  // type 3, code 3

std::uint64_t Take(std::span<const std::byte> in, std::size_t at,
                   std::size_t bytes) {
  std::uint64_t value = 0;
  for (const std::byte b : in.subspan(at, bytes)) {
    value = (value << 8) | std::to_integer<std::uint64_t>(b);
  }
  return value;
}

// Reads an IPv4 address and the port that belongs to it.
Endpoint EndpointAt(std::span<const std::byte> in, std::size_t address_at,
                    std::size_t port_at) {
  const auto byte = [&](std::size_t i) {
    return std::to_integer<std::uint8_t>(in[address_at + i]);
  };
  return {MakeV4(byte(0), byte(1), byte(2), byte(3)),
          static_cast<std::uint16_t>(Take(in, port_at, 2))};
}

// An ICMP error quotes the start of the packet that it answers.
std::optional<Segment> ParseUnreachable(std::span<const std::byte> icmp) {
  constexpr std::size_t ports_at = kIcmpBytes + kIpBytes;
  if (icmp.size() < ports_at + 4 || Take(icmp, 0, 2) != kPortUnreachable) {
    return std::nullopt;
  }
  Segment segment;
  segment.protocol =
      static_cast<Protocol>(Take(icmp, kIcmpBytes + kProtocolAt, 1));
  segment.unreachable = true;
  segment.destination = EndpointAt(icmp, kIcmpBytes + kSourceAt, ports_at);
  segment.source = EndpointAt(icmp, kIcmpBytes + kDestinationAt, ports_at + 2);
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
  if (packet.size() > kIpBytes && Take(packet, 0, 1) == 0x45 &&
      Take(packet, kProtocolAt, 1) == kProtocolIcmp) {
    return ParseUnreachable(packet.subspan(kIpBytes));
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
  std::string out(std::max(size, kMessageBytes), '.');
  out[0] = static_cast<char>(message.kind);
  for (std::size_t i = 0; i < 8; ++i) {
    out[1 + i] = static_cast<char>(message.number >> (8 * (7 - i)));
  }
  return out;
}

std::optional<Message> ParseMessage(std::string_view payload) {
  if (payload.size() < kMessageBytes) return std::nullopt;
  const auto bytes = std::as_bytes(std::span(payload));
  return Message{static_cast<MessageKind>(Take(bytes, 0, 1)),
                 Take(bytes, 1, 8)};
}

}  // namespace sapphirestream::standins
