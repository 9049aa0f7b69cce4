#include "testing/flow_ends/flow_packet.h"

#include "platform/packet_codec.h"
#include "sapphirestream/base/id.h"

namespace sapphirestream::testing {
namespace {

template <typename T>
void Append(Bytes& out, T value) {
  constexpr unsigned bits = 8;
  for (std::size_t i = sizeof(T); i-- > 0;) {
    out.push_back(static_cast<std::byte>(
        static_cast<std::uint64_t>(value) >> (bits * i) & 0xffU));
  }
}

std::uint8_t FlagsOf(const FlowPacket& packet) {
  unsigned flags = 0;
  if (packet.resets) flags |= 1U;
  if (packet.opens) flags |= 4U;
  if (packet.finishes) flags |= 8U;
  if (packet.acknowledges) flags |= 32U;
  return static_cast<std::uint8_t>(flags);
}

}  // namespace

Bytes EncodeFlowPacket(const FlowPacket& packet) {
  // The ends do not verify checksums here; any value except the zero of resets
  // is suitable.
  constexpr std::uint32_t checksum = 0x5a5a5a5a;
  Bytes out;
  out.reserve(platform::kHeaderSize + packet.payload.size());
  Append(out, packet.sequence);
  Append(out, packet.acknowledged);
  Append(out, Value(packet.token));
  Append(out, static_cast<std::uint16_t>(packet.payload.size()));
  Append(out, FlagsOf(packet));
  Append(out, packet.from.port);
  Append(out, packet.to.address);
  Append(out, packet.from.address);
  Append(out, packet.to.port);
  Append(out, checksum);
  for (const char c : packet.payload) out.push_back(static_cast<std::byte>(c));
  return out;
}

std::optional<FlowPacket> DecodeFlowPacket(std::span<const std::byte> bytes) {
  const auto decoded = platform::DecodePacket(bytes);
  if (!decoded) return std::nullopt;
  FlowPacket packet;
  packet.from = decoded->client;
  packet.to = decoded->service;
  packet.sequence = decoded->sequence;
  packet.acknowledged = decoded->acknowledged;
  packet.token = decoded->token;
  packet.opens = decoded->opens;
  packet.acknowledges = decoded->acknowledges;
  packet.finishes = decoded->finishes;
  packet.resets = decoded->resets;
  packet.payload.assign(reinterpret_cast<const char*>(decoded->payload.data()),
                        decoded->payload.size());
  return packet;
}

}  // namespace sapphirestream::testing
