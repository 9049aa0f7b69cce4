// Hash functions that must yield the same values on every instance: the values
// are part of the protocol and must not change between releases.
#ifndef SAPPHIRESTREAM_BASE_HASH_H_
#define SAPPHIRESTREAM_BASE_HASH_H_

#include <xxhash.h>

#include <cstddef>
#include <cstdint>

namespace sapphirestream {

// Hashes a byte string.
[[nodiscard]] inline std::uint64_t HashBytes(const void* data, std::size_t size,
                                             std::uint64_t seed) noexcept {
  return XXH3_64bits_withSeed(data, size, seed);
}

// Mixes two numbers into one hash (the 64-bit finalizer of MurmurHash3 over
// their combination).
[[nodiscard]] constexpr std::uint64_t HashPair(std::uint64_t a,
                                               std::uint64_t b) noexcept {
  std::uint64_t h = a * 0x9e3779b97f4a7c15ULL + b;
  h ^= h >> 33;
  h *= 0xff51afd7ed558ccdULL;
  h ^= h >> 33;
  h *= 0xc4ceb9fe1a85ec53ULL;
  h ^= h >> 33;
  h += b * 0x9e3779b97f4a7c15ULL;
  h ^= h >> 29;
  h *= 0xbf58476d1ce4e5b9ULL;
  return h ^ (h >> 32);
}

}  // namespace sapphirestream

#endif  // SAPPHIRESTREAM_BASE_HASH_H_
