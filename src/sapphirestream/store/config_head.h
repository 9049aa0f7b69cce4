// The head object `config/head`: the parts of a configuration other than
// services, announcements and presets, and the list of the shards that hold
// those.
#ifndef SAPPHIRESTREAM_STORE_CONFIG_HEAD_H_
#define SAPPHIRESTREAM_STORE_CONFIG_HEAD_H_

#include <compare>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "sapphirestream/base/error.h"
#include "sapphirestream/base/id.h"
#include "sapphirestream/base/store_revision.h"
#include "sapphirestream/contract/configuration.h"

namespace sapphirestream {

inline constexpr std::string_view kHeadName = "config/head";

// Position in the ordered sequence of all services and targets. A service has
// target 0 and is followed by its targets in order of id.
struct ShardKey {
  ServiceId service{};
  TargetId target = kNoTarget;

  // clang-tidy 14 mistakes the 0 of a rewritten comparison for a null pointer.
  // NOLINTNEXTLINE(modernize-use-nullptr)
  auto operator<=>(const ShardKey&) const = default;
};

// Reference to one immutable shard. The content under a given name never
// changes.
struct ShardRef {
  // First position that the shard covers; unused for presets.
  ShardKey first;
  // Version of the configuration that wrote the shard. An instance that has
  // this version or a later one already has the content.
  ConfigVersion version{};
  // Hash of the content. Keeps the shard names of concurrent writers that
  // propose the same version distinct, and detects corrupted values.
  std::uint64_t checksum = 0;

  bool operator==(const ShardRef&) const = default;
};

struct ConfigHead {
  // Era of the store in which the head was written. In a later era, the store
  // was restored and may lack changes that were accepted since.
  StoreEra era = kUnknownEra;
  // Contains no services, announcements or presets.
  Configuration head;
  ShardRef presets;
  // Sorted by `first`, beginning with the zero key. A shard covers all
  // positions up to the first position of the next shard.
  std::vector<ShardRef> services;

  bool operator==(const ConfigHead&) const = default;
};

[[nodiscard]] std::string PresetShardName(const ShardRef& ref);
[[nodiscard]] std::string ServiceShardName(const ShardRef& ref);

[[nodiscard]] std::string SerializeHead(const ConfigHead& head);
// Errors as for ParseConfiguration.
[[nodiscard]] leaf::result<ConfigHead> ParseHead(std::string_view text);

}  // namespace sapphirestream

#endif  // SAPPHIRESTREAM_STORE_CONFIG_HEAD_H_
