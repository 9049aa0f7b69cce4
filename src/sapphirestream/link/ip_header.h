// Header sizes, protocol numbers and flags of IP, TCP, UDP and ICMP (RFC 791,
// 8200, 9293, 768, 792, 4443).
#ifndef SAPPHIRESTREAM_LINK_IP_HEADER_H_
#define SAPPHIRESTREAM_LINK_IP_HEADER_H_

#include <cstddef>
#include <cstdint>

namespace sapphirestream::internal {

inline constexpr std::size_t kIpv4HeaderSize = 20;
inline constexpr std::size_t kIpv6HeaderSize = 40;
inline constexpr std::size_t kTcpHeaderSize = 20;
inline constexpr std::size_t kUdpHeaderSize = 8;
inline constexpr std::size_t kIcmpHeaderSize = 8;

inline constexpr std::uint8_t kProtocolIcmp = 1;
inline constexpr std::uint8_t kProtocolTcp = 6;
inline constexpr std::uint8_t kProtocolUdp = 17;
inline constexpr std::uint8_t kProtocolIcmp6 = 58;

inline constexpr std::uint8_t kTcpFin = 0x01;
inline constexpr std::uint8_t kTcpSyn = 0x02;
inline constexpr std::uint8_t kTcpRst = 0x04;
inline constexpr std::uint8_t kTcpAck = 0x10;

inline constexpr std::uint8_t kDefaultHopLimit = 64;

}  // namespace sapphirestream::internal

#endif  // SAPPHIRESTREAM_LINK_IP_HEADER_H_
