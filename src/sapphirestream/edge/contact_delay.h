// Delay before an address that has not answered is contacted again.
#ifndef SAPPHIRESTREAM_EDGE_CONTACT_DELAY_H_
#define SAPPHIRESTREAM_EDGE_CONTACT_DELAY_H_

#include "sapphirestream/base/clock.h"
#include "sapphirestream/base/duration.h"
#include "sapphirestream/base/random.h"

namespace sapphirestream {

// Returns a random delay between half of `longest` and `longest`, so that
// instances that started at the same time do not send at the same time.
[[nodiscard]] inline Duration ContactDelay(Duration longest, Random& random) {
  return Scale(longest, 1 - random.Unit() / 2);
}

}  // namespace sapphirestream

#endif  // SAPPHIRESTREAM_EDGE_CONTACT_DELAY_H_
