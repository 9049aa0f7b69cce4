// Progress of a store over time, as known from its replies.
#ifndef SAPPHIRESTREAM_BASE_REVISION_TIME_H_
#define SAPPHIRESTREAM_BASE_REVISION_TIME_H_

#include <optional>

#include "sapphirestream/base/clock.h"
#include "sapphirestream/base/store_revision.h"

namespace sapphirestream {

// All changes that were acknowledged before `time` have `revision` or a lower
// one.
struct RevisionTime {
  TimePoint time;
  StoreRevision revision;

  bool operator==(const RevisionTime&) const = default;
};

// Source and destination of revision times that instances tell each other.
class StoreProgress {
 public:
  virtual ~StoreProgress() = default;
  // Returns the latest time for which a revision is known.
  [[nodiscard]] virtual std::optional<RevisionTime> Latest() const = 0;
  // Adds what another instance has read. Returns false if it contradicts what
  // is known, or is not later.
  virtual bool Merge(const RevisionTime& time) = 0;
};

}  // namespace sapphirestream

#endif  // SAPPHIRESTREAM_BASE_REVISION_TIME_H_
