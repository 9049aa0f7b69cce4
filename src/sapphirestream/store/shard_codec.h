// JSON serialization of service shards. A shard holds a contiguous range of the
// sequence of all services and targets, with the announcements of the services
// whose entry is in the range.
#ifndef SAPPHIRESTREAM_STORE_SHARD_CODEC_H_
#define SAPPHIRESTREAM_STORE_SHARD_CODEC_H_

#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "sapphirestream/base/error.h"
#include "sapphirestream/contract/configuration.h"
#include "sapphirestream/store/config_head.h"

namespace sapphirestream {

// The part of one service that is stored in one shard.
struct ServiceSlice {
  const Service* service = nullptr;
  // False if the service's own entry is in an earlier shard.
  bool has_entry = true;
  std::span<const Target> targets;
  // Sorted by name; empty if has_entry is false.
  std::vector<const Announcement*> announcements;
};

// Half-open range of positions from `first` to `end`; unbounded without `end`.
struct ShardRange {
  ShardKey first;
  std::optional<ShardKey> end;
};

// Index over a configuration that finds the slices of a range by binary search.
// The configuration must outlive the index.
class SliceIndex {
 public:
  explicit SliceIndex(const Configuration& configuration);

  // Returns the slices of a range in order; omits services that have no part in
  // the range.
  [[nodiscard]] std::vector<ServiceSlice> Slices(const ShardRange& range) const;

 private:
  const Configuration& configuration_;
  // Sorted by service, then by name.
  std::vector<const Announcement*> announcements_;
};

// Returns whether two lists of slices have equal content.
[[nodiscard]] bool SameContent(const std::vector<ServiceSlice>& a,
                               const std::vector<ServiceSlice>& b);

[[nodiscard]] std::string SerializeShard(
    const std::vector<ServiceSlice>& slices);

// Appends the content of a shard to `out`, whose services must end where the
// shard begins. Announcements are appended in no particular order.
[[nodiscard]] leaf::result<void> AppendShard(std::string_view text,
                                             Configuration& out);
// Like AppendShard, but copies from a configuration that already has the
// content.
[[nodiscard]] leaf::result<void> AppendSlices(
    const std::vector<ServiceSlice>& slices, Configuration& out);

[[nodiscard]] std::string SerializePresets(const std::vector<Preset>& presets);
[[nodiscard]] leaf::result<std::vector<Preset>> ParsePresets(
    std::string_view text);

}  // namespace sapphirestream

#endif  // SAPPHIRESTREAM_STORE_SHARD_CODEC_H_
