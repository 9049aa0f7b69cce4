// Number of open flows per target of one placer.
#ifndef SAPPHIRESTREAM_TARGET_OPEN_COUNTS_H_
#define SAPPHIRESTREAM_TARGET_OPEN_COUNTS_H_

#include <algorithm>
#include <cstdint>
#include <vector>

#include "sapphirestream/base/id.h"
#include "sapphirestream/target/placer.h"

namespace sapphirestream {

// Allocates only when a target occurs for the first time.
class OpenCounts {
 public:
  void Add(TargetId target) {
    const auto it = Find(target);
    if (it != counts_.end() && it->target == target) {
      ++it->open;
    } else {
      counts_.insert(it, {target, 1});
    }
  }
  // Does nothing if no flow is open on the target.
  void Remove(TargetId target) {
    const auto it = Find(target);
    if (it != counts_.end() && it->target == target && it->open > 0) --it->open;
  }
  // Returns the targets with open flows, sorted by id.
  [[nodiscard]] std::vector<PlacementCount> List() const {
    std::vector<PlacementCount> list;
    std::copy_if(counts_.begin(), counts_.end(), std::back_inserter(list),
                 [](const PlacementCount& count) { return count.open > 0; });
    return list;
  }

 private:
  [[nodiscard]] std::vector<PlacementCount>::iterator Find(TargetId target) {
    return std::lower_bound(counts_.begin(), counts_.end(), target,
                            [](const PlacementCount& count, TargetId id) {
                              return count.target < id;
                            });
  }

  // Sorted by target.
  std::vector<PlacementCount> counts_;
};

}  // namespace sapphirestream

#endif  // SAPPHIRESTREAM_TARGET_OPEN_COUNTS_H_
