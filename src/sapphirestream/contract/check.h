// Checks whether a change may slow clients down, and whether the operators
// announced it.
#ifndef SAPPHIRESTREAM_CONTRACT_CHECK_H_
#define SAPPHIRESTREAM_CONTRACT_CHECK_H_

#include <span>

#include "sapphirestream/base/clock.h"
#include "sapphirestream/base/error.h"
#include "sapphirestream/contract/capacity.h"
#include "sapphirestream/contract/configuration.h"

namespace sapphirestream {

// Fails with kCapacityExceeded if a service is deleted that has open
// connections, since that would cut them; no announcement allows this. Fails
// with kNotAnnounced and the figures if an affected service has no
// announcement in force. A service is affected if the change lowers its usable
// capacity below `loads` or lowers `capacity_permille` of the preset in force.
// The announcement must be in force both before and after the change, so that
// clients hear of it before the change rather than with it.
[[nodiscard]] leaf::result<void> CheckAnnounced(
    const Configuration& before, const Configuration& after,
    std::span<const ServiceLoad> loads, WallTime now);

}  // namespace sapphirestream

#endif  // SAPPHIRESTREAM_CONTRACT_CHECK_H_
