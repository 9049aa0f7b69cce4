// Limits on operator input, which keep every stored value below the 1 MB limit
// of the store.
#ifndef SAPPHIRESTREAM_CONTRACT_LIMITS_H_
#define SAPPHIRESTREAM_CONTRACT_LIMITS_H_

#include <cstddef>
#include <cstdint>

namespace sapphirestream {

// Maximum length in bytes of a service, preset or announcement name, an author
// or a change id.
inline constexpr std::size_t kMaxNameBytes = 64;
inline constexpr std::size_t kMaxSummaryBytes = 200;
inline constexpr std::size_t kMaxAnnouncementBytes = 1000;
inline constexpr std::size_t kMaxOperations = 64;
inline constexpr std::size_t kMaxServices = 20'000;
// Includes removed targets until they are deleted.
inline constexpr std::size_t kMaxTargetsPerService = 20'000;
inline constexpr std::size_t kMaxPresets = 64;
inline constexpr std::size_t kMaxAnnouncementsPerService = 16;
inline constexpr std::size_t kMaxDomains = 64;
inline constexpr std::size_t kMaxFormerLoadShares = 64;

inline constexpr std::uint32_t kMaxSlots = 10'000;
inline constexpr std::uint32_t kMaxConnections = 1'000'000;
inline constexpr std::uint32_t kMaxWeight = 1'000;

}  // namespace sapphirestream

#endif  // SAPPHIRESTREAM_CONTRACT_LIMITS_H_
