// A configuration change requested by an operator. It is accepted or rejected
// as a whole.
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
  // Unique id chosen by the caller. A change that is submitted again with the
  // same id is applied once.
  std::string id;
  std::string author;
  bool dry_run = false;
  // 1 to kMaxOperations, applied in order.
  std::vector<Operation> operations;

  bool operator==(const Change&) const = default;
};

// Returns the configuration before the first change: one preset, one domain and
// no services.
[[nodiscard]] Configuration InitialConfiguration();

// Applies a change and returns the next version, which records the change in
// its history. Errors: kNotFound, kAlreadyExists and kOutOfRange, with the path
// of the operation. Ignores `change.dry_run` and does not look for an earlier
// change with the same id.
[[nodiscard]] leaf::result<Configuration> Apply(const Configuration& before,
                                                const Change& change,
                                                WallTime now);

// Returns a description of the change of at most kMaxSummaryBytes.
[[nodiscard]] std::string Summarize(const Change& change);

// Removes the oldest records beyond kMaxRecentChanges and kMaxRecentTouched.
void TrimRecentChanges(std::vector<ChangeRecord>& records);

}  // namespace sapphirestream

#endif  // SAPPHIRESTREAM_CONTRACT_CHANGE_H_
