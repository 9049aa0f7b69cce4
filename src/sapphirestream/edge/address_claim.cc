#include "sapphirestream/edge/address_claim.h"

#include <algorithm>
#include <array>
#include <cstddef>

namespace sapphirestream {
namespace {

// Whether the holder answered at a time at which the other target, if its claim
// were true, would have had the address: it stopped no later than `reuse_delay`
// before the other one started.
bool Refutes(const AddressClaim& holder, const AddressClaim& other,
             Duration reuse_delay) noexcept {
  return holder.seen > other.seen && holder.seen >= other.made - reuse_delay;
}

bool IsLater(const AddressClaim& rival, const AddressClaim& claim) noexcept {
  return rival.incarnation > claim.incarnation &&
         rival.written >= claim.written;
}

}  // namespace

std::string_view Name(ClaimStatus status) noexcept {
  constexpr std::array<std::string_view, 3> names{"held", "unconfirmed",
                                                  "lost"};
  return names[static_cast<std::size_t>(status)];
}

ClaimStatus StatusOf(const AddressClaim& claim,
                     std::span<const AddressClaim> rivals,
                     Duration reuse_delay) noexcept {
  const auto refutes = [&](const AddressClaim& rival) {
    return Refutes(rival, claim, reuse_delay);
  };
  if (std::any_of(rivals.begin(), rivals.end(), refutes)) {
    return ClaimStatus::kLost;
  }
  if (claim.IsDenied()) return ClaimStatus::kUnconfirmed;
  const auto may_replace = [&](const AddressClaim& rival) {
    return !rival.IsDenied() && IsLater(rival, claim) &&
           !Refutes(claim, rival, reuse_delay);
  };
  return std::any_of(rivals.begin(), rivals.end(), may_replace)
             ? ClaimStatus::kUnconfirmed
             : ClaimStatus::kHeld;
}

}  // namespace sapphirestream
