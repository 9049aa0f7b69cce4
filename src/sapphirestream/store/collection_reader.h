// Keeps a local view of a collection of objects in a store: lists it page by
// page, then watches for changes. Independent of the type of the objects and of
// the store protocol.
#ifndef SAPPHIRESTREAM_STORE_COLLECTION_READER_H_
#define SAPPHIRESTREAM_STORE_COLLECTION_READER_H_

#include <algorithm>
#include <cstdint>
#include <functional>
#include <iterator>
#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "sapphirestream/base/clock.h"
#include "sapphirestream/base/error.h"
#include "sapphirestream/base/random.h"
#include "sapphirestream/store/backoff.h"
#include "sapphirestream/store/timer.h"

namespace sapphirestream {

template <typename Record>
struct CollectionItem {
  std::string name;
  std::uint64_t revision = 0;
  bool deleted = false;
  // Empty if the object is deleted or cannot be parsed.
  std::optional<Record> record;
};

template <typename Record>
struct CollectionReply {
  // kNone, kHistoryLost (the list must be read again), kRateLimited,
  // kStoreUnavailable or kTimedOut.
  ErrorKind error = ErrorKind::kNone;
  // Revision of the whole store at the time of the reply.
  std::uint64_t revision = 0;
  // Whether more items follow after the name of the last one.
  bool has_more = false;
  std::vector<CollectionItem<Record>> items;
};

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
                    Duration deadline, Done done) = 0;
  // Reads the changes since a revision. If there are none, waits up to `wait`
  // for the first one.
  virtual void Watch(std::uint64_t since, Duration wait, Freshness freshness,
                     Duration deadline, Done done) = 0;
};

template <typename Record>
class CollectionObserver {
 public:
  virtual ~CollectionObserver() = default;
  // Receives the complete collection; objects that are not in `items` do not
  // exist.
  virtual void OnSnapshot(const std::vector<CollectionItem<Record>>& items,
                          std::uint64_t revision) = 0;
  virtual void OnChanges(const std::vector<CollectionItem<Record>>& items) = 0;
  // A successful reply confirmed that the collection is up to date.
  virtual void OnSynced() {}
  // Called on the first failed call of an outage, and on the first successful
  // reply after it.
  virtual void OnStoreUnavailable(ErrorKind error) = 0;
  virtual void OnStoreRecovered(Duration outage) = 0;
  // A poll failed; see CollectionReader::Poll.
  virtual void OnPollFailed(ErrorKind /*error*/) {}
  // The store rejected a call because all instances together exceed its rate
  // limit.
  virtual void OnRateLimited() {}
};

struct CollectionReaderOptions {
  Duration call_deadline = std::chrono::seconds(1);
  // Time that the store holds a watch open waiting for a change.
  Duration watch_timeout = std::chrono::seconds(10);
  // Minimum time between the starts of two watches, which batches changes in
  // quick succession.
  Duration min_watch_interval = std::chrono::milliseconds(500);
  // Consistency of watches and of periodic relists. Other lists use kCurrent
  // until the store rate limits a page.
  Freshness freshness = Freshness::kCurrent;
  // Time for which watches use kCurrent after a cached reply was found to be
  // stale.
  Duration cache_bypass_period = std::chrono::seconds(30);
  // Interval at which the whole list is read again, in case a change was
  // missed.
  Duration relist_period = std::chrono::seconds(30);
  BackoffOptions backoff{std::chrono::milliseconds(100),
                         std::chrono::seconds(1)};
};

// Not thread-safe: all calls and callbacks happen on the control thread.
template <typename Record>
class CollectionReader {
 public:
  using Reply = CollectionReply<Record>;

  // The references must outlive the reader.
  CollectionReader(CollectionClient<Record>& client, Timer& timer,
                   const Clock& clock, Random& random,
                   CollectionObserver<Record>& observer,
                   const CollectionReaderOptions& options)
      : client_(client),
        timer_(timer),
        clock_(clock),
        random_(random),
        observer_(observer),
        options_(options),
        backoff_(options.backoff) {}
  ~CollectionReader() { timer_.Cancel(next_timer_); }
  CollectionReader(const CollectionReader&) = delete;
  CollectionReader& operator=(const CollectionReader&) = delete;

  // Starts following the collection, or restarts with a full list.
  void Start() { ReadList(Freshness::kCurrent); }
  // Starts a watch immediately unless a call is in flight.
  void Refresh() {
    if (call_in_flight_ || !has_list_) return;
    Watch();
  }
  // Polls for changes through another client, in case the reply to the pending
  // watch was lost. Inexpensive: uses a cached read, which returns items only
  // if the watch is behind.
  void Poll(CollectionClient<Record>& client) {
    if (!has_list_) return;
    client.Watch(revision_, Duration::zero(), Freshness::kCached,
                 options_.call_deadline,
                 InEpoch([](CollectionReader& self, Reply reply) {
                   if (reply.error == ErrorKind::kHistoryLost) {
                     self.Start();
                   } else if (reply.error != ErrorKind::kNone) {
                     self.observer_.OnPollFailed(reply.error);
                   } else if (!reply.items.empty()) {
                     self.observer_.OnChanges(reply.items);
                   }
                 }));
  }

 private:
  // Binds a step to the current epoch, so that late replies are ignored.
  template <typename Step>
  auto InEpoch(Step step) {
    return [weak = std::weak_ptr<CollectionReader*>(self_), epoch = epoch_,
            step](auto... argument) {
      const auto self = weak.lock();
      if (self && (*self)->epoch_ == epoch) {
        step(**self, std::move(argument)...);
      }
    };
  }

  void ReadList(Freshness freshness) {
    ++epoch_;
    timer_.Cancel(next_timer_);
    listed_items_.clear();
    list_revision_.reset();
    list_freshness_ = freshness;
    last_relist_ = clock_.Now();
    ReadPage();
  }

  void ReadPage() {
    call_in_flight_ = true;
    client_.List(
        listed_items_.empty() ? std::string{} : listed_items_.back().name,
        list_freshness_, options_.call_deadline,
        InEpoch([](CollectionReader& self, Reply reply) {
          self.OnPage(std::move(reply));
        }));
  }

  void OnPage(Reply reply) {
    call_in_flight_ = false;
    // Pages read so far are kept: if many instances read a long list at the
    // same time, starting over would multiply the calls.
    if (reply.error == ErrorKind::kRateLimited) {
      // Read the remaining pages from the cache, since a long list has too many
      // pages to retry each one after a rejection.
      list_freshness_ = Freshness::kCached;
      RetryAfterRejection([](CollectionReader& self) { self.ReadPage(); });
      return;
    }
    if (reply.error != ErrorKind::kNone) {
      RetryAfterFailure(reply.error,
                        [](CollectionReader& self) { self.ReadPage(); });
      return;
    }
    OnSuccess();
    const bool has_more = reply.has_more && !reply.items.empty();
    std::move(reply.items.begin(), reply.items.end(),
              std::back_inserter(listed_items_));
    // The first watch starts from the lowest revision of the pages, so that it
    // returns changes made while the pages were read and changes missing from
    // cached pages.
    list_revision_ =
        std::min(list_revision_.value_or(reply.revision), reply.revision);
    if (has_more) {
      ReadPage();
      return;
    }
    revision_ = *std::exchange(list_revision_, std::nullopt);
    has_list_ = true;
    const auto items = std::exchange(listed_items_, {});
    observer_.OnSnapshot(items, revision_);
    observer_.OnSynced();
    ScheduleWatch();
  }

  void Watch() {
    timer_.Cancel(next_timer_);
    call_in_flight_ = true;
    last_watch_ = clock_.Now();
    const bool bypass_cache = last_watch_ < bypass_cache_until_ ||
                              list_freshness_ == Freshness::kCached;
    client_.Watch(revision_, options_.watch_timeout,
                  bypass_cache ? Freshness::kCurrent : options_.freshness,
                  options_.watch_timeout + options_.call_deadline,
                  InEpoch([](CollectionReader& self, Reply reply) {
                    self.OnWatch(std::move(reply));
                  }));
  }

  void OnWatch(Reply reply) {
    call_in_flight_ = false;
    if (reply.error == ErrorKind::kHistoryLost) {
      OnSuccess();
      Start();
      return;
    }
    if (reply.error == ErrorKind::kRateLimited) {
      RetryAfterRejection([](CollectionReader& self) { self.Watch(); });
      return;
    }
    if (reply.error != ErrorKind::kNone) {
      // After losing its history, the store may hold a new watch although the
      // changes that it waits for have already been made.
      RetryAfterFailure(reply.error,
                        [](CollectionReader& self) { self.Start(); });
      return;
    }
    OnSuccess();
    list_freshness_ = Freshness::kCurrent;
    if (!reply.items.empty()) observer_.OnChanges(reply.items);
    observer_.OnSynced();
    if (reply.revision < revision_) {
      bypass_cache_until_ = clock_.Now() + options_.cache_bypass_period;
    }
    revision_ = std::max(revision_, reply.revision);
    if (clock_.Now() - last_relist_ >= options_.relist_period) {
      ReadList(options_.freshness);
      return;
    }
    ScheduleWatch();
  }

  void ScheduleWatch() {
    const Duration since_watch = clock_.Now() - last_watch_;
    After(std::max(options_.min_watch_interval - since_watch, Duration::zero()),
          [](CollectionReader& self) { self.Watch(); });
  }

  // Does not report an outage, since a rate-limited store is available.
  template <typename Step>
  void RetryAfterRejection(Step step) {
    observer_.OnRateLimited();
    After(backoff_.Next(random_), step);
  }

  template <typename Step>
  void RetryAfterFailure(ErrorKind error, Step retry) {
    if (!unavailable_since_) {
      unavailable_since_ = clock_.Now();
      observer_.OnStoreUnavailable(error);
    }
    After(backoff_.Next(random_), retry);
  }

  void OnSuccess() {
    backoff_.Reset();
    if (!unavailable_since_) return;
    const Duration outage =
        clock_.Now() - *std::exchange(unavailable_since_, {});
    observer_.OnStoreRecovered(outage);
  }

  template <typename Step>
  void After(Duration delay, Step step) {
    next_timer_ = timer_.After(delay, InEpoch(step));
  }

  CollectionClient<Record>& client_;
  Timer& timer_;
  const Clock& clock_;
  Random& random_;
  CollectionObserver<Record>& observer_;
  CollectionReaderOptions options_;
  Backoff backoff_;

  // Items of the pages read so far.
  std::vector<CollectionItem<Record>> listed_items_;
  // Lowest revision of the pages read so far.
  std::optional<std::uint64_t> list_revision_;
  // If the last list was cached, the next watch uses kCurrent.
  Freshness list_freshness_ = Freshness::kCurrent;
  std::uint64_t revision_ = 0;
  bool has_list_ = false;
  bool call_in_flight_ = false;
  // Start of the last watch.
  TimePoint last_watch_{};
  TimePoint last_relist_{};
  // The cache was found to be stale; watches bypass it until then.
  TimePoint bypass_cache_until_{};
  std::optional<TimePoint> unavailable_since_;
  // Incremented by each list; replies to calls of earlier epochs are ignored.
  std::uint64_t epoch_ = 0;
  TimerId next_timer_ = kNoTimer;
  // Expires with the reader, so that late callbacks can detect its destruction.
  std::shared_ptr<CollectionReader*> self_ =
      std::make_shared<CollectionReader*>(this);
};

}  // namespace sapphirestream

#endif  // SAPPHIRESTREAM_STORE_COLLECTION_READER_H_
