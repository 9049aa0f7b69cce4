// Checks whether a change can slow clients down without an announcement by the
// operators.
#ifndef SAPPHIRESTREAM_CONTRACT_CHECK_H_
#define SAPPHIRESTREAM_CONTRACT_CHECK_H_

#include <span>

#include "sapphirestream/base/clock.h"
#include "sapphirestream/base/error.h"
#include "sapphirestream/contract/capacity.h"
#include "sapphirestream/contract/configuration.h"

namespace sapphirestream {

// Fails with kCapacityExceeded if a service with open connections is deleted,
// since that would break them; no announcement permits this. Fails with
// kNotAnnounced and the capacity and load if an affected service has no
// announcement in force. A service is affected if the change lowers its usable
// capacity below `loads` or lowers `capacity_permille` of the preset in force.
// The announcement must be in force both before and after the change, so that
// clients are informed before the change takes effect.
[[nodiscard]] leaf::result<void> CheckAnnounced(
    const Configuration& before, const Configuration& after,
    std::span<const ServiceLoad> loads, WallTime now);

}  // namespace sapphirestream

#endif  // SAPPHIRESTREAM_CONTRACT_CHECK_H_
