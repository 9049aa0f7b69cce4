// IPv4 address and port in host byte order. More compact than `Endpoint`,
// because flow tables hold many of them.
#ifndef SAPPHIRESTREAM_EDGE_V4_ENDPOINT_H_
#define SAPPHIRESTREAM_EDGE_V4_ENDPOINT_H_

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>

#include "sapphirestream/base/endpoint.h"
#include "sapphirestream/base/hash.h"

namespace sapphirestream {

struct V4Endpoint {
  std::uint32_t address = 0;
  std::uint16_t port = 0;

  bool operator==(const V4Endpoint&) const = default;
};

[[nodiscard]] constexpr std::uint64_t Value(V4Endpoint endpoint) noexcept {
  return std::uint64_t{endpoint.address} << 16U | endpoint.port;
}

[[nodiscard]] inline Endpoint ToEndpoint(V4Endpoint endpoint) noexcept {
  const std::uint32_t a = endpoint.address;
  const auto byte = [a](unsigned shift) {
    return static_cast<std::uint8_t>(a >> shift);
  };
  return {MakeV4(byte(24), byte(16), byte(8), byte(0)), endpoint.port};
}

// Returns nothing if the address is not IPv4.
[[nodiscard]] inline std::optional<V4Endpoint> ToV4(const Endpoint& endpoint) {
  if (!endpoint.address.is_v4()) return std::nullopt;
  const auto& b = endpoint.address.bytes;
  const std::uint32_t address = std::uint32_t{b[12]} << 24U |
                                std::uint32_t{b[13]} << 16U |
                                std::uint32_t{b[14]} << 8U | b[15];
  return V4Endpoint{address, endpoint.port};
}

[[nodiscard]] inline std::string ToString(V4Endpoint endpoint) {
  return ToString(ToEndpoint(endpoint));
}

struct V4EndpointHash {
  [[nodiscard]] std::size_t operator()(V4Endpoint endpoint) const noexcept {
    return HashPair(endpoint.address, endpoint.port);
  }
};

}  // namespace sapphirestream

#endif  // SAPPHIRESTREAM_EDGE_V4_ENDPOINT_H_
