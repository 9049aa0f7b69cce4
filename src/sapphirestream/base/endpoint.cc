// Text forms of addresses and endpoints.
#include "sapphirestream/base/endpoint.h"

#include <algorithm>
#include <boost/asio/ip/address.hpp>
#include <charconv>

namespace sapphirestream {
namespace {

namespace ip = boost::asio::ip;

constexpr std::array<std::uint8_t, 12> kMappedPrefix{0, 0, 0, 0, 0,    0,
                                                     0, 0, 0, 0, 0xff, 0xff};

}  // namespace

bool IpAddress::is_v4() const noexcept {
  return std::equal(kMappedPrefix.begin(), kMappedPrefix.end(), bytes.begin());
}

IpAddress MakeV4(std::uint8_t a, std::uint8_t b, std::uint8_t c,
                 std::uint8_t d) noexcept {
  IpAddress address;
  std::copy(kMappedPrefix.begin(), kMappedPrefix.end(), address.bytes.begin());
  address.bytes[12] = a;
  address.bytes[13] = b;
  address.bytes[14] = c;
  address.bytes[15] = d;
  return address;
}

std::optional<IpAddress> ParseAddress(std::string_view text) {
  boost::system::error_code error;
  const ip::address parsed = ip::make_address(std::string(text), error);
  if (error) return std::nullopt;
  if (parsed.is_v4()) {
    const auto b = parsed.to_v4().to_bytes();
    return MakeV4(b[0], b[1], b[2], b[3]);
  }
  return IpAddress{parsed.to_v6().to_bytes()};
}

std::optional<Endpoint> ParseEndpoint(std::string_view text) {
  const std::size_t colon = text.rfind(':');
  if (colon == std::string_view::npos) return std::nullopt;
  std::string_view host = text.substr(0, colon);
  const std::string_view port = text.substr(colon + 1);
  if (host.starts_with('[') && host.ends_with(']')) {
    host = host.substr(1, host.size() - 2);
  } else if (host.find(':') != std::string_view::npos) {
    return std::nullopt;
  }
  Endpoint endpoint;
  const auto [end, error] =
      std::from_chars(port.data(), port.data() + port.size(), endpoint.port);
  if (error != std::errc{} || end != port.data() + port.size()) {
    return std::nullopt;
  }
  const auto address = ParseAddress(host);
  if (!address) return std::nullopt;
  endpoint.address = *address;
  return endpoint;
}

std::string ToString(const IpAddress& address) {
  const auto& b = address.bytes;
  if (address.is_v4()) {
    return ip::address_v4({b[12], b[13], b[14], b[15]}).to_string();
  }
  return ip::address_v6(b).to_string();
}

std::string ToString(const Endpoint& endpoint) {
  const std::string port = std::to_string(endpoint.port);
  if (endpoint.address.is_v4()) return ToString(endpoint.address) + ":" + port;
  return "[" + ToString(endpoint.address) + "]:" + port;
}

}  // namespace sapphirestream
