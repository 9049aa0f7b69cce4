// Inner packets between clients and targets, and the messages in their payload.
#ifndef SAPPHIRESTREAM_TESTING_STANDINS_SEGMENT_H_
#define SAPPHIRESTREAM_TESTING_STANDINS_SEGMENT_H_

#include <cstddef>
#include <cstdint>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "sapphirestream/base/endpoint.h"
#include "sapphirestream/base/id.h"
#include "sapphirestream/flow/flow_key.h"
#include "sapphirestream/link/packet_builder.h"

namespace sapphirestream::standins {

// A TCP segment or a UDP datagram. An ICMP port unreachable is parsed like a
// reset of the flow that it refers to.
struct Segment {
  Protocol protocol = Protocol::kTcp;
  Endpoint source{};
  Endpoint destination{};
  bool syn = false;
  bool ack = false;
  bool fin = false;
  bool rst = false;
  // Whether this is an ICMP port unreachable.
  bool unreachable = false;
  std::uint32_t sequence = 0;
  std::uint32_t acknowledged = 0;
  std::string payload{};
};

// Builds the IP packet with valid checksums. Both addresses must be IPv4.
[[nodiscard]] std::vector<std::byte> BuildSegment(const Segment& segment);
// Parses an IP packet; empty if it is not IPv4 or IPv6 with TCP or UDP, or an
// ICMP port unreachable over IPv4.
[[nodiscard]] std::optional<Segment> ParseSegment(
    std::span<const std::byte> packet, ServiceId service);

enum class MessageKind : std::uint8_t {
  kOrder = 'O',   // must not run twice
  kAnswer = 'A',  // answer to an order or a part
  kPart = 'P',    // part of a long-lived flow
};

// Message at the start of each payload, followed by padding.
struct Message {
  MessageKind kind = MessageKind::kPart;
  // Id of the order, or number of the part.
  std::uint64_t number = 0;
};

inline constexpr std::size_t kMinMessageSize = 9;

// Builds a payload of at least `size` bytes.
[[nodiscard]] std::string BuildMessage(const Message& message,
                                       std::size_t size = kMinMessageSize);
[[nodiscard]] std::optional<Message> ParseMessage(std::string_view payload);

}  // namespace sapphirestream::standins

#endif  // SAPPHIRESTREAM_TESTING_STANDINS_SEGMENT_H_
