// Builds the packets with which an instance refuses or resets a flow.
#ifndef SAPPHIRESTREAM_LINK_ANSWER_PACKET_H_
#define SAPPHIRESTREAM_LINK_ANSWER_PACKET_H_

#include <cstddef>
#include <span>

#include "sapphirestream/link/inner_packet.h"

namespace sapphirestream {

// Size limit of an answer: an ICMPv6 error must not exceed the minimum MTU.
inline constexpr std::size_t kMaxAnswerSize = 1280;

// Writes the answer to an inner packet that ParseInnerPacket accepted as
// `parsed`: a TCP RST (RFC 9293, 3.10.7) or an ICMP port unreachable. Returns
// its size; 0 if the packet must not be answered (a RST itself, or a client
// address that is not unicast). `out` must have room for kMaxAnswerSize bytes.
[[nodiscard]] std::size_t BuildAnswer(std::span<const std::byte> inner,
                                      const InnerPacket& parsed,
                                      std::span<std::byte> out) noexcept;

}  // namespace sapphirestream

#endif  // SAPPHIRESTREAM_LINK_ANSWER_PACKET_H_
