// The difference between two accepted configurations, as instances send it to
// each other. A text of JSON; it carries only what changed.
#ifndef SAPPHIRESTREAM_CONTRACT_DELTA_H_
#define SAPPHIRESTREAM_CONTRACT_DELTA_H_

#include <string>
#include <string_view>

#include "sapphirestream/base/error.h"
#include "sapphirestream/base/id.h"
#include "sapphirestream/contract/configuration.h"

namespace sapphirestream {

// Returns the delta that leads from `base` to `next`. Both must be accepted
// configurations, and `next` the newer one.
[[nodiscard]] std::string MakeDelta(const Configuration& base,
                                    const Configuration& next);

// Applies a delta. The result equals the configuration that the delta was made
// for. Fails with kVersionConflict if `base` has another version than the
// delta's base; with kNotFound if the delta removes something that `base` does
// not have; otherwise as ParseConfiguration.
[[nodiscard]] leaf::result<Configuration> ApplyDelta(const Configuration& base,
                                                     std::string_view delta);

}  // namespace sapphirestream

#endif  // SAPPHIRESTREAM_CONTRACT_DELTA_H_
