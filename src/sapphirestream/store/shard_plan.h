// Which shards a new configuration needs written, and which ones a reader has
// to read. Pure functions; the store calls are made elsewhere.
#ifndef SAPPHIRESTREAM_STORE_SHARD_PLAN_H_
#define SAPPHIRESTREAM_STORE_SHARD_PLAN_H_

#include <cstddef>
#include <map>
#include <string>
#include <vector>

#include "sapphirestream/base/error.h"
#include "sapphirestream/contract/configuration.h"
#include "sapphirestream/store/config_head.h"

namespace sapphirestream {

// Size in bytes above which a shard is split. A reader reads the head and one
// shard per change. With 120,000 targets in 16 MB and 65 bytes of the head per
// shard, the sum of both is least near sqrt(16 MB * 65 B) = 32 KB.
inline constexpr std::size_t kMaxShardBytes = std::size_t{32} * 1024;

struct ShardWrite {
  std::string name;
  std::string value;
};

struct ShardPlan {
  ConfigHead head;
  // Shards that the head refers to and that are not in the store yet.
  std::vector<ShardWrite> writes;
};

// Plans the step from `before`, stored with the shards of `stored`, to `after`.
// Without stored shards, everything is written. A shard whose range or content
// changes is written under a new name.
[[nodiscard]] ShardPlan PlanShards(const ConfigHead* stored,
                                   const Configuration& before,
                                   const Configuration& after);

// Returns the names of the shards whose content `known` does not have; all of
// them if it is null. `known` must be an accepted configuration that is not
// newer than the head.
[[nodiscard]] std::vector<std::string> MissingShards(
    const ConfigHead& head, const Configuration* known);

// Puts a configuration together from the shards read and from `known`, and
// validates it. Fails with kNotFound if a value is missing and with
// kMalformedMessage if one is damaged.
[[nodiscard]] leaf::result<Configuration> Assemble(
    const ConfigHead& head, const Configuration* known,
    const std::map<std::string, std::string>& values);

}  // namespace sapphirestream

#endif  // SAPPHIRESTREAM_STORE_SHARD_PLAN_H_
