// Limits of one read of a store.
#ifndef SAPPHIRESTREAM_STORE_CALL_LIMITS_H_
#define SAPPHIRESTREAM_STORE_CALL_LIMITS_H_

#include <cstddef>
#include <limits>

#include "sapphirestream/base/clock.h"

namespace sapphirestream {

struct CallLimits {
  // Time until the reply begins to arrive. It may take longer to arrive as a
  // whole: a connection on which bytes arrive is not silent.
  Duration deadline{};
  // Largest body of the reply in bytes; a larger one is abandoned as soon as
  // its size is known.
  std::size_t max_bytes = std::numeric_limits<std::size_t>::max();
};

}  // namespace sapphirestream

#endif  // SAPPHIRESTREAM_STORE_CALL_LIMITS_H_
