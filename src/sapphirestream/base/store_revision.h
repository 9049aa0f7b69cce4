// Position in the history of a store that can be restored from a backup.
#ifndef SAPPHIRESTREAM_BASE_STORE_REVISION_H_
#define SAPPHIRESTREAM_BASE_STORE_REVISION_H_

#include <compare>
#include <cstdint>

namespace sapphirestream {

// Counts the restorations of a store. A restored store assigns revision numbers
// of the lost part of its history again, in a higher era.
enum class StoreEra : std::uint64_t {};

// The reply did not name the era, or there was no reply.
inline constexpr StoreEra kUnknownEra{0};

// Ordered by era first: a revision number alone does not tell which of two
// states of an object is newer.
struct StoreRevision {
  StoreEra era{};
  std::uint64_t number = 0;

  // clang-tidy 14 mistakes the 0 of a rewritten comparison for a null pointer.
  // NOLINTNEXTLINE(modernize-use-nullptr)
  auto operator<=>(const StoreRevision&) const = default;
};

}  // namespace sapphirestream

#endif  // SAPPHIRESTREAM_BASE_STORE_REVISION_H_
