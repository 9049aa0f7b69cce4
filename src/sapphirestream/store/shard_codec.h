// Text form of one shard of services: a run of the sequence of all services and
// targets, with the announcements of the services whose entry is in the run.
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

// The part of one service that a shard holds.
struct ServiceSlice {
  const Service* service = nullptr;
  // False if the service's own entry is in an earlier shard.
  bool has_entry = true;
  std::span<const Target> targets;
  // Empty without the entry. Sorted by name.
  std::vector<const Announcement*> announcements;
};

// Positions from `first` up to, and without, `end`; no `end` means all the
// rest.
struct ShardRange {
  ShardKey first;
  std::optional<ShardKey> end;
};

// A configuration with its announcements in the order of services, so that a
// range is found by binary search. Refers to the configuration.
class SliceIndex {
 public:
  explicit SliceIndex(const Configuration& configuration);

  // Returns the slices of a range in order; services without any part in the
  // range are left out.
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
// As AppendShard, from a configuration that has the content already.
[[nodiscard]] leaf::result<void> AppendSlices(
    const std::vector<ServiceSlice>& slices, Configuration& out);

[[nodiscard]] std::string SerializePresets(const std::vector<Preset>& presets);
[[nodiscard]] leaf::result<std::vector<Preset>> ParsePresets(
    std::string_view text);

}  // namespace sapphirestream

#endif  // SAPPHIRESTREAM_STORE_SHARD_CODEC_H_
