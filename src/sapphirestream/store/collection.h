// A collection of objects in a store: its items, the calls that read it, and
// the events that a reader reports.
#ifndef SAPPHIRESTREAM_STORE_COLLECTION_H_
#define SAPPHIRESTREAM_STORE_COLLECTION_H_

#include <cstddef>
#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <vector>

#include "sapphirestream/base/clock.h"
#include "sapphirestream/base/error.h"
#include "sapphirestream/base/store_revision.h"
#include "sapphirestream/store/call_limits.h"

namespace sapphirestream {

template <typename Record>
struct CollectionItem {
  // Empty if it cannot be decoded.
  std::string name;
  StoreRevision revision;
  bool deleted = false;
  // Empty if the object is deleted or cannot be parsed.
  std::optional<Record> record;
};

template <typename Record>
struct CollectionReply {
  // kNone, kHistoryLost (the list must be read again), kRateLimited,
  // kMalformedJson, kReplyTooLarge, kStoreUnavailable or kTimedOut.
  ErrorKind error = ErrorKind::kNone;
  // Revision of the whole store at the time of the reply. Failed replies have
  // no number, and no era either if the store did not answer.
  StoreRevision revision;
  // Whether more items follow after the name of the last one.
  bool has_more = false;
  std::vector<CollectionItem<Record>> items;
  // Size of the reply's body.
  std::size_t bytes = 0;
};

template <typename Record>
void SetEra(CollectionReply<Record>& reply, StoreEra era) noexcept {
  reply.revision.era = era;
  for (auto& item : reply.items) item.revision.era = era;
}

// Required consistency of a read.
enum class Freshness : std::uint8_t {
  kCurrent,
  // May be served from a cache of the store that can lag behind. Costs a tenth
  // of a current read and is never rate limited.
  kCached,
};

// Asynchronous calls for one collection. Callbacks run on the control thread.
template <typename Record>
class CollectionClient {
 public:
  using Done = std::function<void(CollectionReply<Record>)>;

  virtual ~CollectionClient() = default;
  // Reads one page of the items whose names are greater than `after`.
  virtual void List(const std::string& after, Freshness freshness,
                    const CallLimits& limits, Done done) = 0;
  // Reads the changes since a revision. If there are none, waits up to `wait`
  // for the first one.
  virtual void Watch(std::uint64_t since, Duration wait, Freshness freshness,
                     const CallLimits& limits, Done done) = 0;
  // Abandons pending calls without invoking their callbacks, so that a later
  // call does not wait behind a watch that the store holds.
  virtual void Cancel() = 0;
  // Whether the reply to a call has begun to arrive, and has not ended yet. A
  // connection that goes silent meanwhile is not receiving for long.
  [[nodiscard]] virtual bool IsReceiving() const = 0;
};

template <typename Record>
class CollectionObserver {
 public:
  virtual ~CollectionObserver() = default;
  // Receives the complete collection; objects that are not in `items` do not
  // exist.
  virtual void OnSnapshot(const std::vector<CollectionItem<Record>>& items,
                          StoreRevision revision) = 0;
  virtual void OnChanges(const std::vector<CollectionItem<Record>>& items) = 0;
  // A successful reply was applied.
  virtual void OnSynced() {}
  // Called on the first failed call of an outage, and on the first successful
  // reply after it.
  virtual void OnStoreUnavailable(ErrorKind error) = 0;
  virtual void OnStoreRecovered(Duration outage) = 0;
  // The changes missing from a cached list could not be read because the store
  // has lost its history; the list is read again.
  virtual void OnCacheOutdated() {}
  // A check failed; see CollectionReader::Check.
  virtual void OnCheckFailed(ErrorKind /*error*/) {}
  // A reply is from a later era than the view: the store was restored from a
  // backup. The list is read again.
  virtual void OnEraChanged(StoreRevision /*held*/, StoreRevision /*offered*/) {
  }
  // A reply is from an earlier era than the view and was ignored.
  virtual void OnOutdatedReply(StoreRevision /*held*/,
                               StoreRevision /*offered*/) {}
  // The changes since the view are larger than the list, which is read instead.
  virtual void OnChangesTooLarge() {}
  // The store answered, but the reply cannot be used. An item that cannot be
  // decoded does not make its reply unusable.
  virtual void OnReplyUnusable(ErrorKind /*error*/) {}
  // The store rejected a call because all instances together exceed its rate
  // limit.
  virtual void OnRateLimited() {}
};

}  // namespace sapphirestream

#endif  // SAPPHIRESTREAM_STORE_COLLECTION_H_
