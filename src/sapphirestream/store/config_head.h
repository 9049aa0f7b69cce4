// The head object `config/head`: everything of a configuration but its
// services, announcements and presets, and the list of the shards that hold
// these.
#ifndef SAPPHIRESTREAM_STORE_CONFIG_HEAD_H_
#define SAPPHIRESTREAM_STORE_CONFIG_HEAD_H_

#include <compare>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "sapphirestream/base/error.h"
#include "sapphirestream/base/id.h"
#include "sapphirestream/contract/configuration.h"

namespace sapphirestream {

inline constexpr std::string_view kHeadName = "config/head";

// Position in the sequence of all services and targets: a service comes first
// with target 0, then its targets by id.
struct ShardKey {
  ServiceId service{};
  TargetId target = kNoTarget;

  // clang-tidy 14 takes the 0 of a rewritten comparison for a null pointer.
  // NOLINTNEXTLINE(modernize-use-nullptr)
  auto operator<=>(const ShardKey&) const = default;
};

// Names one immutable shard. Its content never changes under the same name.
struct ShardRef {
  // First position that the shard covers; unused for presets.
  ShardKey first;
  // Version of the configuration that wrote the shard. An instance that has a
  // configuration of this version or a later one has the content already.
  ConfigVersion version{};
  // Hash of the content. Makes the names of racing writers that propose the
  // same version differ, and detects a damaged value.
  std::uint64_t checksum = 0;

  bool operator==(const ShardRef&) const = default;
};

struct ConfigHead {
  // Without services, announcements and presets.
  Configuration head;
  ShardRef presets;
  // Sorted by `first`; the first one starts at the zero key. A shard covers all
  // positions up to the next one's first.
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
