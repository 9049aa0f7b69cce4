// Timing and consistency of the calls of a CollectionReader.
#ifndef SAPPHIRESTREAM_STORE_COLLECTION_READER_OPTIONS_H_
#define SAPPHIRESTREAM_STORE_COLLECTION_READER_OPTIONS_H_

#include <chrono>

#include "sapphirestream/base/clock.h"
#include "sapphirestream/store/backoff.h"
#include "sapphirestream/store/collection.h"

namespace sapphirestream {

struct CollectionReaderOptions {
  Duration call_deadline = std::chrono::seconds(1);
  // The deadline doubles after each call that exceeds it, up to this one:
  // repeating large replies that are slow to arrive would keep the link of the
  // store full.
  Duration max_call_deadline = std::chrono::seconds(4);
  // Longest deadline of a probe, which reads changes only. A probe may hang
  // until then although the store is available again.
  Duration max_probe_deadline = std::chrono::seconds(4);
  // Time that the store holds a watch open waiting for a change.
  Duration watch_timeout = std::chrono::seconds(10);
  // Minimum time between the starts of two watches, which batches changes in
  // quick succession.
  Duration min_watch_interval = std::chrono::milliseconds(500);
  // Consistency of watches and of all lists but the first, which is current.
  // Pages are read from the cache after a failed or rate-limited page.
  Freshness freshness = Freshness::kCurrent;
  // Time for which reads use kCurrent after a reply was from an earlier era.
  Duration cache_bypass_period = std::chrono::seconds(30);
  // The same after the store was restored. Longer than a cache lags behind: a
  // reply of the lost part might not be recognised.
  Duration restored_bypass_period = std::chrono::seconds(6);
  // Time after which a call whose reply could not be used is repeated.
  Duration unusable_pause = std::chrono::seconds(1);
  // Interval at which the whole list is read again, in case a change was
  // missed.
  Duration relist_period = std::chrono::seconds(30);
  // Backoff until the first list has been read.
  BackoffOptions initial_backoff{std::chrono::milliseconds(100),
                                 std::chrono::seconds(1)};
  // Backoff afterwards. It is longer because the local view stays usable, and a
  // failed call is charged as a current read.
  BackoffOptions backoff{std::chrono::milliseconds(200),
                         std::chrono::seconds(2), /*min_fraction=*/0.5};
};

}  // namespace sapphirestream

#endif  // SAPPHIRESTREAM_STORE_COLLECTION_READER_OPTIONS_H_
