// Difference between two accepted configurations, in JSON, which instances send
// to each other. Contains only what changed.
#ifndef SAPPHIRESTREAM_CONTRACT_DELTA_H_
#define SAPPHIRESTREAM_CONTRACT_DELTA_H_

#include <string>
#include <string_view>

#include "sapphirestream/base/error.h"
#include "sapphirestream/base/id.h"
#include "sapphirestream/contract/configuration.h"

namespace sapphirestream {

// Returns the delta from `base` to `next`. Both must be accepted
// configurations, and `next` must be the newer one.
[[nodiscard]] std::string MakeDelta(const Configuration& base,
                                    const Configuration& next);

// Applies a delta. The result equals the configuration that the delta was
// computed for. Fails with kVersionConflict if the version of `base` is not the
// base version of the delta, with kNotFound if the delta removes an object that
// `base` does not have, and otherwise as ParseConfiguration does.
[[nodiscard]] leaf::result<Configuration> ApplyDelta(const Configuration& base,
                                                     std::string_view delta);

}  // namespace sapphirestream

#endif  // SAPPHIRESTREAM_CONTRACT_DELTA_H_
