// Conversion between Endpoint and socket API addresses.
#ifndef SAPPHIRESTREAM_INSTANCE_SOCKET_ADDRESS_H_
#define SAPPHIRESTREAM_INSTANCE_SOCKET_ADDRESS_H_

#include <netinet/in.h>
#include <sys/socket.h>

#include <cstdint>
#include <cstring>

#include "sapphirestream/base/endpoint.h"

namespace sapphirestream {

// Large enough for an address of either family.
union SocketAddress {
  sockaddr base;
  sockaddr_in v4;
  sockaddr_in6 v6;
};

// Returns AF_INET or AF_INET6.
[[nodiscard]] inline sa_family_t FamilyOf(const IpAddress& address) noexcept {
  return address.is_v4() ? AF_INET : AF_INET6;
}

// Writes the address of an endpoint for a socket of `family` and returns its
// length, or 0 if an IPv4 socket cannot reach the endpoint. An IPv6 socket uses
// IPv4-mapped addresses for IPv4 endpoints.
[[nodiscard]] inline socklen_t ToSocketAddress(const Endpoint& endpoint,
                                               sa_family_t family,
                                               SocketAddress& out) noexcept {
  const auto& bytes = endpoint.address.bytes;
  if (family == AF_INET6) {
    out.v6 = sockaddr_in6{};
    out.v6.sin6_family = AF_INET6;
    out.v6.sin6_port = htons(endpoint.port);
    std::memcpy(&out.v6.sin6_addr, bytes.data(), bytes.size());
    return sizeof(out.v6);
  }
  if (!endpoint.address.is_v4()) return 0;
  out.v4 = sockaddr_in{};
  out.v4.sin_family = AF_INET;
  out.v4.sin_port = htons(endpoint.port);
  std::memcpy(&out.v4.sin_addr, &bytes[12], 4);
  return sizeof(out.v4);
}

[[nodiscard]] inline Endpoint FromSocketAddress(
    const SocketAddress& address) noexcept {
  Endpoint endpoint;
  auto& bytes = endpoint.address.bytes;
  if (address.base.sa_family == AF_INET6) {
    std::memcpy(bytes.data(), &address.v6.sin6_addr, bytes.size());
    endpoint.port = ntohs(address.v6.sin6_port);
  } else {
    endpoint.address = MakeV4(0, 0, 0, 0);
    std::memcpy(&bytes[12], &address.v4.sin_addr, 4);
    endpoint.port = ntohs(address.v4.sin_port);
  }
  return endpoint;
}

}  // namespace sapphirestream

#endif  // SAPPHIRESTREAM_INSTANCE_SOCKET_ADDRESS_H_
