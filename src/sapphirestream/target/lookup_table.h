// Lookup table of a service, which maps buckets of flow hashes to targets.
#ifndef SAPPHIRESTREAM_TARGET_LOOKUP_TABLE_H_
#define SAPPHIRESTREAM_TARGET_LOOKUP_TABLE_H_

#include <cstddef>
#include <cstdint>
#include <vector>

#include "sapphirestream/base/id.h"
#include "sapphirestream/contract/service.h"

namespace sapphirestream {

// Immutable. Equal services have equal tables on every instance.
class LookupTable {
 public:
  // Builds the table that a service had at `version`, from the targets for
  // which Target::IsInTableOf is true. The table is empty if there are none.
  [[nodiscard]] static LookupTable Build(const Service& service,
                                         ConfigVersion version);

  // Returns the target of a flow hash, or kNoTarget if the table is empty.
  [[nodiscard]] TargetId At(std::uint64_t flow_hash) const noexcept {
    if (empty()) return kNoTarget;
    return TargetOf(BucketOf(flow_hash));
  }
  // Returns the bucket of a flow hash. The table must not be empty.
  [[nodiscard]] std::size_t BucketOf(std::uint64_t flow_hash) const noexcept {
    // Multiply-shift over the high 32 bits avoids a division.
    return static_cast<std::size_t>(((flow_hash >> 32) * size()) >> 32);
  }
  // Returns the target of a bucket, which must be below size().
  [[nodiscard]] TargetId TargetOf(std::size_t bucket) const noexcept {
    return targets_[narrow_.empty() ? wide_[bucket] : narrow_[bucket]];
  }
  [[nodiscard]] std::size_t size() const noexcept {
    return narrow_.size() + wide_.size();
  }
  [[nodiscard]] bool empty() const noexcept { return size() == 0; }
  // Returns the targets of all buckets. Allocates, so not for the packet path.
  [[nodiscard]] std::vector<TargetId> buckets() const;

 private:
  // Targets that own buckets, sorted by id.
  std::vector<TargetId> targets_;
  // Index into `targets_` by bucket: in `narrow_` for up to 256 targets,
  // otherwise in `wide_`. Most tables are narrow. Each service keeps a table
  // for every version of the last day, and storing ids would take four times
  // the memory.
  std::vector<std::uint8_t> narrow_;
  std::vector<std::uint16_t> wide_;
};

}  // namespace sapphirestream

#endif  // SAPPHIRESTREAM_TARGET_LOOKUP_TABLE_H_
