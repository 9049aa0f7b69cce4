// A change of the configuration as an operator asks for it. It is accepted or
// refused as a whole.
#ifndef SAPPHIRESTREAM_CONTRACT_CHANGE_H_
#define SAPPHIRESTREAM_CONTRACT_CHANGE_H_

#include <string>
#include <vector>

#include "sapphirestream/base/clock.h"
#include "sapphirestream/base/error.h"
#include "sapphirestream/contract/configuration.h"
#include "sapphirestream/contract/operation.h"

namespace sapphirestream {

struct Change {
  // Chosen by the caller and unique. A change that is sent again with the same
  // id is accepted once.
  std::string id;
  std::string author;
  bool dry_run = false;
  // 1 to kMaxOperations, applied in order.
  std::vector<Operation> operations;

  bool operator==(const Change&) const = default;
};

// Returns the configuration before the first change: one preset, one domain, no
// service.
[[nodiscard]] Configuration InitialConfiguration();

// Applies a change and returns the next version, which remembers the change.
// Errors: kNotFound, kAlreadyExists and kOutOfRange with the operation's path.
// Does not look at `change.dry_run`, nor for an earlier change of the same id.
[[nodiscard]] leaf::result<Configuration> Apply(const Configuration& before,
                                                const Change& change,
                                                WallTime now);

// Returns the change in words, at most kMaxSummaryBytes.
[[nodiscard]] std::string Summarize(const Change& change);

// Drops the oldest records beyond kMaxRecentChanges and kMaxRecentTouched.
void TrimRecentChanges(std::vector<ChangeRecord>& records);

}  // namespace sapphirestream

#endif  // SAPPHIRESTREAM_CONTRACT_CHANGE_H_
