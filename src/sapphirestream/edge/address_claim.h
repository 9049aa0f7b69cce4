// Decides which of several targets that name the same address is reached there.
// A target that stops leaves its address to a later one, and any writer can
// leave an entry that names the address of a living target. The entries of both
// look the same, so the decision rests on which target last answered at the
// address; see docs/design/address-claims.md.
#ifndef SAPPHIRESTREAM_EDGE_ADDRESS_CLAIM_H_
#define SAPPHIRESTREAM_EDGE_ADDRESS_CLAIM_H_

#include <cstdint>
#include <span>
#include <string_view>

#include "sapphirestream/base/clock.h"
#include "sapphirestream/base/id.h"
#include "sapphirestream/base/store_revision.h"

namespace sapphirestream {

// What is known of one target at the address of its entry.
struct AddressClaim {
  Incarnation incarnation{};
  // Revision of the last entry that the target wrote.
  StoreRevision written;
  // When the target was first read with this address and incarnation.
  TimePoint made{};
  // Lower bound of when the target last answered at the address; unset before.
  TimePoint seen{};
  // Start of the last probe that another target answered there; unset before.
  TimePoint denied{};

  // Whether another target has answered at the address since the target did.
  [[nodiscard]] constexpr bool IsDenied() const noexcept {
    return denied > seen;
  }
};

enum class ClaimStatus : std::uint8_t {
  kHeld,
  // Another target may have the address; only a probe can tell.
  kUnconfirmed,
  // Another target that claims the address has answered there.
  kLost,
};

[[nodiscard]] std::string_view Name(ClaimStatus status) noexcept;

// `rivals`: the claims of the targets that name the address, without those that
// are gone; the claim itself may be among them. `reuse_delay`: shortest time
// between the end of a target and the start of the next one at its address.
// Without further evidence, the target that started later and wrote its entry
// later is taken for the holder.
[[nodiscard]] ClaimStatus StatusOf(const AddressClaim& claim,
                                   std::span<const AddressClaim> rivals,
                                   Duration reuse_delay) noexcept;

}  // namespace sapphirestream

#endif  // SAPPHIRESTREAM_EDGE_ADDRESS_CLAIM_H_
