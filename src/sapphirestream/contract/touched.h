// Determines the objects that a change touches, and whether concurrent changes
// conflict.
#ifndef SAPPHIRESTREAM_CONTRACT_TOUCHED_H_
#define SAPPHIRESTREAM_CONTRACT_TOUCHED_H_

#include <string>
#include <vector>

#include "sapphirestream/contract/change.h"
#include "sapphirestream/contract/configuration.h"

namespace sapphirestream {

// Returns the sorted and unique paths of the objects that the change touches.
[[nodiscard]] std::vector<std::string> TouchedPaths(const Change& change);

// Returns whether two lists from TouchedPaths have a common path, or a path in
// one list is an ancestor of a path in the other. Deleting a service conflicts
// with adding a target to it, while adding two different targets does not
// conflict.
[[nodiscard]] bool PathsConflict(const std::vector<std::string>& a,
                                 const std::vector<std::string>& b);

enum class ConflictStatus : std::uint8_t {
  kNoConflict,      // the change may be re-applied to the head
  kConflict,        // `conflicting_version` touches one of the same objects
  kHistoryTrimmed,  // the history does not cover every change since the base
};

struct ConflictResult {
  ConflictStatus status = ConflictStatus::kNoConflict;
  // Version of the conflicting accepted change, which is reported to operators.
  ConfigVersion conflicting_version{};
};

// Checks a change that was made against version `base` for conflicts, where
// `head` is the newest accepted configuration.
[[nodiscard]] ConflictResult CheckConflict(const Change& change,
                                           ConfigVersion base,
                                           const Configuration& head);

}  // namespace sapphirestream

#endif  // SAPPHIRESTREAM_CONTRACT_TOUCHED_H_
