// The lookup table of a service: the target of each bucket of flow hashes.
#ifndef SAPPHIRESTREAM_TARGET_LOOKUP_TABLE_H_
#define SAPPHIRESTREAM_TARGET_LOOKUP_TABLE_H_

#include <cstddef>
#include <cstdint>
#include <vector>

#include "sapphirestream/base/id.h"
#include "sapphirestream/contract/service.h"

namespace sapphirestream {

// Immutable. Equal services give equal tables on every instance.
class LookupTable {
 public:
  // Builds the table that a service had at `version`, from the targets for
  // which Target::IsInTableOf holds. Without any the table is empty.
  [[nodiscard]] static LookupTable Build(const Service& service,
                                         ConfigVersion version);

  // Returns the target of a flow hash, or kNoTarget if the table is empty.
  [[nodiscard]] TargetId At(std::uint64_t flow_hash) const noexcept {
    if (buckets_.empty()) return kNoTarget;
    return buckets_[BucketOf(flow_hash)];
  }
  // Returns the bucket of a flow hash. The table must not be empty.
  [[nodiscard]] std::size_t BucketOf(std::uint64_t flow_hash) const noexcept {
    // Multiply-shift over the high 32 bits avoids a division.
    return static_cast<std::size_t>(((flow_hash >> 32) * buckets_.size()) >>
                                    32);
  }
  [[nodiscard]] std::size_t size() const noexcept { return buckets_.size(); }
  [[nodiscard]] bool empty() const noexcept { return buckets_.empty(); }
  [[nodiscard]] const std::vector<TargetId>& buckets() const noexcept {
    return buckets_;
  }

 private:
  std::vector<TargetId> buckets_;
};

}  // namespace sapphirestream

#endif  // SAPPHIRESTREAM_TARGET_LOOKUP_TABLE_H_
