// Builds the packets with which an instance refuses or resets a flow.
#include "sapphirestream/link/answer_packet.h"

#include <algorithm>

#include "sapphirestream/link/byte_order.h"
#include "sapphirestream/link/checksum.h"
#include "sapphirestream/link/ip_header.h"
#include "sapphirestream/link/ip_writer.h"

namespace sapphirestream {
namespace {

using internal::kIcmpHeaderSize;

// ICMP type and code of "port unreachable".
constexpr std::uint8_t kUnreachableV4[] = {3, 3};
constexpr std::uint8_t kUnreachableV6[] = {1, 4};
// RFC 1812, 4.3.2.3: an ICMPv4 error must not exceed 576 bytes.
constexpr std::size_t kMaxIcmpV4Size = 576;

bool IsUnicast(const IpAddress& address) noexcept {
  const auto& b = address.bytes;
  if (address.is_v4()) {
    return b[12] != 0 && b[12] < 224;  // neither "this network" nor multicast
  }
  const bool is_unspecified = std::all_of(
      b.begin(), b.end(), [](std::uint8_t byte) { return byte == 0; });
  return b[0] != 0xff && !is_unspecified;
}

std::size_t BuildReset(const InnerPacket& parsed,
                       std::span<std::byte> out) noexcept {
  const Packet& packet = parsed.packet;
  const std::size_t ip_size = internal::IpHeaderSize(packet.key.client);
  const auto answer = out.first(ip_size + internal::kTcpHeaderSize);
  internal::WriteIpHeader(answer, parsed.destination.address, packet.key.client,
                          internal::kProtocolTcp);
  std::byte* tcp = answer.data() + ip_size;
  std::fill_n(tcp, internal::kTcpHeaderSize, std::byte{0});
  StoreBigEndian(tcp, parsed.destination.port);
  StoreBigEndian(tcp + 2, packet.key.client_port);
  tcp[12] = std::byte{(internal::kTcpHeaderSize / 4) << 4};
  if (packet.ack) {
    StoreBigEndian(tcp + 4, parsed.acknowledgement);
    tcp[13] = std::byte{internal::kTcpRst};
  } else {
    const std::uint32_t length =
        packet.payload_size + (packet.syn ? 1U : 0U) + (packet.fin ? 1U : 0U);
    StoreBigEndian(tcp + 8, packet.sequence + length);
    tcp[13] = std::byte{internal::kTcpRst | internal::kTcpAck};
  }
  FillChecksums(answer, ip_size, internal::kProtocolTcp);
  return answer.size();
}

std::size_t BuildUnreachable(std::span<const std::byte> inner,
                             const InnerPacket& parsed,
                             std::span<std::byte> out) noexcept {
  const IpAddress& client = parsed.packet.key.client;
  const bool is_v4 = client.is_v4();
  const std::size_t ip_size = internal::IpHeaderSize(client);
  const std::size_t limit = is_v4 ? kMaxIcmpV4Size : kMaxAnswerSize;
  const std::size_t quoted =
      std::min(inner.size(), limit - ip_size - kIcmpHeaderSize);
  const auto answer = out.first(ip_size + kIcmpHeaderSize + quoted);
  const std::uint8_t protocol =
      is_v4 ? internal::kProtocolIcmp : internal::kProtocolIcmp6;
  internal::WriteIpHeader(answer, parsed.destination.address, client, protocol);
  std::byte* icmp = answer.data() + ip_size;
  std::fill_n(icmp, kIcmpHeaderSize, std::byte{0});
  const auto& code = is_v4 ? kUnreachableV4 : kUnreachableV6;
  icmp[0] = std::byte{code[0]};
  icmp[1] = std::byte{code[1]};
  std::copy_n(inner.begin(), quoted, icmp + kIcmpHeaderSize);
  FillChecksums(answer, ip_size, protocol);
  return answer.size();
}

}  // namespace

std::size_t BuildAnswer(std::span<const std::byte> inner,
                        const InnerPacket& parsed,
                        std::span<std::byte> out) noexcept {
  if (!IsUnicast(parsed.packet.key.client)) return 0;
  if (parsed.packet.key.protocol == Protocol::kUdp) {
    return BuildUnreachable(inner, parsed, out);
  }
  return parsed.packet.rst ? 0 : BuildReset(parsed, out);
}

}  // namespace sapphirestream
