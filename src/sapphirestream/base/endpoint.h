// IP addresses and endpoints. IPv4 addresses are stored in IPv6-mapped form, so
// that one type covers both families.
#ifndef SAPPHIRESTREAM_BASE_ENDPOINT_H_
#define SAPPHIRESTREAM_BASE_ENDPOINT_H_

#include <array>
#include <compare>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace sapphirestream {

struct IpAddress {
  std::array<std::uint8_t, 16> bytes{};

  // clang-tidy 14 mistakes the 0 of a rewritten comparison for a null pointer.
  // NOLINTNEXTLINE(modernize-use-nullptr)
  auto operator<=>(const IpAddress&) const = default;
  // Returns whether the address is an IPv6-mapped IPv4 address.
  [[nodiscard]] bool is_v4() const noexcept;
};

struct Endpoint {
  IpAddress address;
  std::uint16_t port = 0;

  // NOLINTNEXTLINE(modernize-use-nullptr)
  auto operator<=>(const Endpoint&) const = default;
};

// Makes an address from four bytes in network order.
[[nodiscard]] IpAddress MakeV4(std::uint8_t a, std::uint8_t b, std::uint8_t c,
                               std::uint8_t d) noexcept;
// Parses a dotted IPv4 or an IPv6 address; empty if it is neither.
[[nodiscard]] std::optional<IpAddress> ParseAddress(std::string_view text);
// Parses `127.0.0.1:80` or `[::1]:80`; empty if malformed.
[[nodiscard]] std::optional<Endpoint> ParseEndpoint(std::string_view text);
[[nodiscard]] std::string ToString(const IpAddress& address);
[[nodiscard]] std::string ToString(const Endpoint& endpoint);

}  // namespace sapphirestream

#endif  // SAPPHIRESTREAM_BASE_ENDPOINT_H_
