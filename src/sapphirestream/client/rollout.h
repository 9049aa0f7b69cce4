// How many instances have a version of the configuration.
#ifndef SAPPHIRESTREAM_CLIENT_ROLLOUT_H_
#define SAPPHIRESTREAM_CLIENT_ROLLOUT_H_

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "sapphirestream/base/error.h"
#include "sapphirestream/base/id.h"

namespace sapphirestream {

struct Rollout {
  // Live instances, as the answering instance sees them; 0 if not known yet.
  std::uint64_t live = 0;
  std::uint64_t prepared = 0;
  std::uint64_t active = 0;
  std::vector<InstanceId> lagging;

  [[nodiscard]] bool complete() const noexcept {
    return live != 0 && active >= live;
  }
  bool operator==(const Rollout&) const = default;
};

// Reads the answer of /v1/status for the given version or a later one; without
// either, returns zeros. Errors: kMalformedJson.
[[nodiscard]] leaf::result<Rollout> ParseRollout(std::string_view status,
                                                 ConfigVersion version);
// Returns such as `in force on 2 of 3 instances, lagging: 5`.
[[nodiscard]] std::string ToString(const Rollout& rollout);

}  // namespace sapphirestream

#endif  // SAPPHIRESTREAM_CLIENT_ROLLOUT_H_
