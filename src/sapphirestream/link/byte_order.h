// Loads and stores of integers in network byte order.
#ifndef SAPPHIRESTREAM_LINK_BYTE_ORDER_H_
#define SAPPHIRESTREAM_LINK_BYTE_ORDER_H_

#include <concepts>
#include <cstddef>
#include <cstdint>

namespace sapphirestream {

// Reads an integer from `bytes`, which must hold sizeof(T) bytes.
template <std::unsigned_integral T>
[[nodiscard]] constexpr T LoadBigEndian(const std::byte* bytes) noexcept {
  T value = 0;
  for (std::size_t i = 0; i < sizeof(T); ++i) {
    value = static_cast<T>((std::uint64_t{value} << 8) |
                           std::to_integer<std::uint64_t>(bytes[i]));
  }
  return value;
}

// Writes an integer to `bytes`, which must have room for sizeof(T) bytes.
template <std::unsigned_integral T>
constexpr void StoreBigEndian(std::byte* bytes, T value) noexcept {
  for (std::size_t i = 0; i < sizeof(T); ++i) {
    bytes[i] = static_cast<std::byte>(value >> (8 * (sizeof(T) - 1 - i)));
  }
}

}  // namespace sapphirestream

#endif  // SAPPHIRESTREAM_LINK_BYTE_ORDER_H_
