// Builds TCP and UDP packets with valid lengths and checksums.
#include "sapphirestream/link/packet_builder.h"

#include <algorithm>

#include "sapphirestream/link/byte_order.h"
#include "sapphirestream/link/checksum.h"
#include "sapphirestream/link/geneve.h"
#include "sapphirestream/link/ip_header.h"
#include "sapphirestream/link/ip_writer.h"

namespace sapphirestream {
namespace {

void WriteTcpHeader(std::byte* tcp, const PacketSpec& spec) noexcept {
  StoreBigEndian(tcp + 4, spec.sequence);
  StoreBigEndian(tcp + 8, spec.acknowledgement);
  tcp[12] = std::byte{(internal::kTcpHeaderSize / 4) << 4};
  const unsigned flags = (spec.syn ? internal::kTcpSyn : 0U) |
                         (spec.ack ? internal::kTcpAck : 0U) |
                         (spec.fin ? internal::kTcpFin : 0U) |
                         (spec.rst ? internal::kTcpRst : 0U);
  tcp[13] = static_cast<std::byte>(flags);
  StoreBigEndian<std::uint16_t>(tcp + 14, spec.rst ? 0 : 0xffff);
}

}  // namespace

std::vector<std::byte> BuildPacket(const PacketSpec& spec) {
  const bool is_tcp = spec.protocol == Protocol::kTcp;
  const std::size_t ip_size = internal::IpHeaderSize(spec.source.address);
  const std::size_t header_size =
      is_tcp ? internal::kTcpHeaderSize : internal::kUdpHeaderSize;
  std::vector<std::byte> packet(ip_size + header_size + spec.payload.size());
  const auto protocol = static_cast<std::uint8_t>(spec.protocol);
  internal::WriteIpHeader(packet, spec.source.address, spec.destination.address,
                          protocol);
  std::byte* transport = packet.data() + ip_size;
  StoreBigEndian(transport, spec.source.port);
  StoreBigEndian(transport + 2, spec.destination.port);
  if (is_tcp) {
    WriteTcpHeader(transport, spec);
  } else {
    StoreBigEndian(transport + 4, static_cast<std::uint16_t>(
                                      header_size + spec.payload.size()));
  }
  std::transform(
      spec.payload.begin(), spec.payload.end(),
      packet.begin() + static_cast<std::ptrdiff_t>(ip_size + header_size),
      [](char c) { return static_cast<std::byte>(c); });
  FillChecksums(packet, ip_size, protocol);
  return packet;
}

std::vector<std::byte> EncapsulateInGeneve(ServiceId service,
                                           std::span<const std::byte> inner) {
  std::vector<std::byte> datagram(kGeneveHeaderSize);
  EncodeGeneve({service, ProtocolTypeOf(inner), kGeneveHeaderSize}, datagram);
  datagram.insert(datagram.end(), inner.begin(), inner.end());
  return datagram;
}

}  // namespace sapphirestream
