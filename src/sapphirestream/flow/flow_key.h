// Key that identifies a flow, and its hash.
#ifndef SAPPHIRESTREAM_FLOW_FLOW_KEY_H_
#define SAPPHIRESTREAM_FLOW_FLOW_KEY_H_

#include <cstdint>

#include "sapphirestream/base/endpoint.h"
#include "sapphirestream/base/hash.h"
#include "sapphirestream/base/id.h"

namespace sapphirestream {

enum class Protocol : std::uint8_t { kTcp = 6, kUdp = 17 };

// Client endpoint, service and protocol. The server address and port are
// implied, since a service has exactly one endpoint.
struct FlowKey {
  IpAddress client;
  ServiceId service{};
  std::uint16_t client_port = 0;
  Protocol protocol = Protocol::kTcp;

  bool operator==(const FlowKey&) const = default;
};

// Returns a hash that is the same on every instance. The high 32 bits select
// the bucket; the low 32 bits are independent of them.
[[nodiscard]] inline std::uint64_t HashFlow(const FlowKey& key) noexcept {
  const std::uint64_t address = HashBytes(
      key.client.bytes.data(), key.client.bytes.size(), Value(key.service));
  return HashPair(address, (std::uint64_t{key.client_port} << 8) |
                               static_cast<std::uint64_t>(key.protocol));
}

}  // namespace sapphirestream

#endif  // SAPPHIRESTREAM_FLOW_FLOW_KEY_H_
