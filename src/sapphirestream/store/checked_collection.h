// View of a collection whose age CollectionChecker keeps below a bound.
#ifndef SAPPHIRESTREAM_STORE_CHECKED_COLLECTION_H_
#define SAPPHIRESTREAM_STORE_CHECKED_COLLECTION_H_

#include <functional>

#include "sapphirestream/base/clock.h"
#include "sapphirestream/base/error.h"
#include "sapphirestream/store/collection.h"

namespace sapphirestream {

class CheckedCollection {
 public:
  // Receives kNone if the view has been completed by the reply, or is being
  // replaced because of it.
  using CheckDone = std::function<void(ErrorKind error)>;

  virtual ~CheckedCollection() = default;
  // Time up to which the view is complete: it contains every change that was
  // acknowledged before. Unset before the first list.
  [[nodiscard]] virtual TimePoint CompleteUntil() const = 0;
  // Whether the store is unavailable and is being probed already.
  [[nodiscard]] virtual bool IsAway() const = 0;
  // Whether a check can complete the view: it exists, is not being replaced by
  // a list, and the store is not away. A check beside a reply that is arriving
  // would fetch the same changes, and slow it down.
  [[nodiscard]] virtual bool IsCheckable() const = 0;
  // Reads the changes that the view lacks, on a connection of its own: the
  // connection of the pending watch may be silent.
  virtual void Check(Freshness freshness, Duration deadline,
                     CheckDone done) = 0;
  // Checks keep failing, so that a pending watch has probably failed as well.
  virtual void OnChecksFailed(ErrorKind error) = 0;
};

}  // namespace sapphirestream

#endif  // SAPPHIRESTREAM_STORE_CHECKED_COLLECTION_H_
