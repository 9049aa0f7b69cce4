// Determines which shards to write for a new configuration and which shards a
// reader has to read. Pure functions without store calls.
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
// shard, the sum of both is minimal near sqrt(16 MB * 65 B) = 32 KB.
inline constexpr std::size_t kMaxShardBytes = std::size_t{32} * 1024;

struct ShardWrite {
  std::string name;
  std::string value;
};

struct ShardPlan {
  ConfigHead head;
  // Shards referenced by the head that are not in the store yet.
  std::vector<ShardWrite> writes;
};

// Plans the update from `before`, stored in the shards of `stored`, to `after`.
// If `stored` is null, all shards are written. A shard whose range or content
// changes is written under a new name.
[[nodiscard]] ShardPlan PlanShards(const ConfigHead* stored,
                                   const Configuration& before,
                                   const Configuration& after);

// Returns the names of the shards whose content `known` does not have; all
// shards if it is null. `known` must be an accepted configuration that is not
// newer than the head.
[[nodiscard]] std::vector<std::string> MissingShards(
    const ConfigHead& head, const Configuration* known);

// Assembles a configuration from shard values and from `known`, and validates
// it. Fails with kNotFound if a shard value is missing and with
// kMalformedMessage if one is corrupted.
[[nodiscard]] leaf::result<Configuration> Assemble(
    const ConfigHead& head, const Configuration* known,
    const std::map<std::string, std::string>& values);

}  // namespace sapphirestream

#endif  // SAPPHIRESTREAM_STORE_SHARD_PLAN_H_
