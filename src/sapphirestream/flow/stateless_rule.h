// Decides which flows every instance steers by hash alone, without a record.
#ifndef SAPPHIRESTREAM_FLOW_STATELESS_RULE_H_
#define SAPPHIRESTREAM_FLOW_STATELESS_RULE_H_

#include <cstdint>

#include "sapphirestream/base/id.h"
#include "sapphirestream/flow/snapshot.h"

namespace sapphirestream {

// Returns whether a flow is placed by load, given the load share. Uses the low
// bits of the hash, which are independent of the bucket.
[[nodiscard]] constexpr bool IsLoadPlaced(std::uint64_t hash,
                                          std::uint32_t share_permille) {
  return (((hash & 0xffffffffU) * 1000) >> 32) < share_permille;
}

// Returns whether the bucket of a flow has the same target in all versions in
// which it has one.
[[nodiscard]] inline bool IsBucketStable(const ServiceView& view,
                                         std::uint64_t hash) noexcept {
  const TargetId target = view.active.table->At(hash);
  const auto differs = [&](const ServiceVersion& version) {
    const TargetId other = version.table->At(hash);
    return other != kNoTarget && other != target;
  };
  for (const ServiceVersion& version : view.retained) {
    if (differs(version)) return false;
  }
  for (const ServiceVersion& version : view.prepared) {
    if (differs(version)) return false;
  }
  return target != kNoTarget;
}

// Returns whether a flow is placed by hash in all versions.
[[nodiscard]] inline bool IsHashPlaced(const ServiceView& view,
                                       std::uint64_t hash) noexcept {
  if (IsLoadPlaced(hash, view.active.load_share_permille)) return false;
  for (const ServiceVersion& version : view.retained) {
    if (IsLoadPlaced(hash, version.load_share_permille)) return false;
  }
  for (const ServiceVersion& version : view.prepared) {
    if (IsLoadPlaced(hash, version.load_share_permille)) return false;
  }
  return true;
}

// Returns whether a flow is steered by its hash, without a record.
[[nodiscard]] inline bool IsStateless(const ServiceView& view,
                                      std::uint64_t hash) noexcept {
  return IsHashPlaced(view, hash) && IsBucketStable(view, hash);
}

// Returns the target of an established flow without a record: the one of the
// oldest version under which the flow may have begun.
[[nodiscard]] inline TargetId UnrecordedTarget(const ServiceView& view,
                                               std::uint64_t hash) noexcept {
  for (const ServiceVersion& version : view.retained) {
    if (version.recorded) continue;
    if (const TargetId target = version.table->At(hash); target != kNoTarget) {
      return target;
    }
  }
  return view.active.table->At(hash);
}

}  // namespace sapphirestream

#endif  // SAPPHIRESTREAM_FLOW_STATELESS_RULE_H_
