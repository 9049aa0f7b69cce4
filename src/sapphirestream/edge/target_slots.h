// Number of slots of a target.
#ifndef SAPPHIRESTREAM_EDGE_TARGET_SLOTS_H_
#define SAPPHIRESTREAM_EDGE_TARGET_SLOTS_H_

#include <algorithm>
#include <cstdint>

#include "sapphirestream/edge/target_directory.h"

namespace sapphirestream {

// Returns the number of requests that the target processes concurrently. At
// least 1, whatever its entry says.
[[nodiscard]] inline std::uint32_t SlotsOf(const EdgeTarget& target) noexcept {
  return std::max(1U, target.record.slots);
}

}  // namespace sapphirestream

#endif  // SAPPHIRESTREAM_EDGE_TARGET_SLOTS_H_
