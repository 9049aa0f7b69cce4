// Packets as encoded and decoded by the two ends of a flow. Instances see only
// the packets of clients.
#ifndef SAPPHIRESTREAM_TESTING_FLOW_ENDS_FLOW_PACKET_H_
#define SAPPHIRESTREAM_TESTING_FLOW_ENDS_FLOW_PACKET_H_

#include <cstddef>
#include <cstdint>
#include <functional>
#include <optional>
#include <span>
#include <string>
#include <vector>

#include "sapphirestream/edge/fwd.h"
#include "sapphirestream/edge/v4_endpoint.h"

namespace sapphirestream::testing {

struct FlowPacket {
  V4Endpoint from;
  V4Endpoint to;
  std::uint32_t sequence = 0;
  // In a client's opening packet, the number of times it was sent before.
  std::uint32_t acknowledged = 0;
  FlowToken token{};
  bool opens = false;
  bool acknowledges = false;
  bool finishes = false;
  bool resets = false;
  std::string payload;
};

using Bytes = std::vector<std::byte>;
using SendBytes = std::function<void(std::span<const std::byte>)>;

[[nodiscard]] Bytes EncodeFlowPacket(const FlowPacket& packet);
// Returns nothing if the bytes are not a valid packet.
[[nodiscard]] std::optional<FlowPacket> DecodeFlowPacket(
    std::span<const std::byte> bytes);

}  // namespace sapphirestream::testing

#endif  // SAPPHIRESTREAM_TESTING_FLOW_ENDS_FLOW_PACKET_H_
