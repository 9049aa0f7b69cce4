// State of the rollout of a configuration version, as in /v1/status.
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
  // Live instances, as seen by the answering instance; 0 if not known yet.
  std::uint64_t live = 0;
  std::uint64_t prepared = 0;
  std::uint64_t active = 0;
  std::vector<InstanceId> lagging;

  [[nodiscard]] bool complete() const noexcept {
    return live != 0 && active >= live;
  }
  bool operator==(const Rollout&) const = default;
};

// Parses an answer of /v1/status. Returns zeros if it refers to a version
// before `version`. Errors: kMalformedJson.
[[nodiscard]] leaf::result<Rollout> ParseRollout(std::string_view status,
                                                 ConfigVersion version);
// Returns text such as `in force on 2 of 3 instances, lagging: 5`.
[[nodiscard]] std::string ToString(const Rollout& rollout);

}  // namespace sapphirestream

#endif  // SAPPHIRESTREAM_CLIENT_ROLLOUT_H_
