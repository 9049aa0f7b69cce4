// Keeps a local view of a collection of objects in a store: lists it page by
// page, then watches for changes. While the store is unavailable, it is probed
// with inexpensive cached reads. Independent of the type of the objects and of
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
#include "sapphirestream/base/random.h"
#include "sapphirestream/store/backoff.h"
#include "sapphirestream/store/collection.h"
#include "sapphirestream/store/probe_lock.h"
#include "sapphirestream/store/timer.h"

namespace sapphirestream {

struct CollectionReaderOptions {
  Duration call_deadline = std::chrono::seconds(1);
  // The deadline doubles after each call that exceeds it, up to this one:
  // repeating large replies that are slow to arrive would keep the link of the
  // store full.
  Duration max_call_deadline = std::chrono::seconds(4);
  // Time that the store holds a watch open waiting for a change.
  Duration watch_timeout = std::chrono::seconds(10);
  // Minimum time between the starts of two watches, which batches changes in
  // quick succession.
  Duration min_watch_interval = std::chrono::milliseconds(500);
  // Consistency of watches and of all lists but the first, which is current.
  // Pages are read from the cache after a failed or rate-limited page.
  Freshness freshness = Freshness::kCurrent;
  // Time for which watches use kCurrent after a cached reply was found to be
  // stale.
  Duration cache_bypass_period = std::chrono::seconds(30);
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

// Not thread-safe: all calls and callbacks happen on the control thread.
template <typename Record>
class CollectionReader {
 public:
  using Reply = CollectionReply<Record>;

  // The references must outlive the reader.
  CollectionReader(CollectionClient<Record>& client, Timer& timer,
                   const Clock& clock, Random& random,
                   CollectionObserver<Record>& observer, ProbeLock& probe_lock,
                   const CollectionReaderOptions& options)
      : client_(client),
        timer_(timer),
        clock_(clock),
        random_(random),
        observer_(observer),
        probe_lock_(probe_lock),
        options_(options),
        backoff_(options.initial_backoff),
        call_deadline_(options.call_deadline) {}
  ~CollectionReader() {
    timer_.Cancel(next_timer_);
    probe_lock_.Release(this);
  }
  CollectionReader(const CollectionReader&) = delete;
  CollectionReader& operator=(const CollectionReader&) = delete;

  // Starts following the collection, or restarts with a full list. The first
  // list is current, since a cached one takes another call to confirm.
  void Start() {
    ReadList(has_list_ ? options_.freshness : Freshness::kCurrent);
  }
  // Repeats a failed call immediately instead of after its backoff. For use
  // when another call has shown that the store is available.
  void RetryNow() {
    if (!retry_) return;
    timer_.Cancel(next_timer_);
    std::exchange(retry_, nullptr)();
  }
  // Starts a watch immediately unless a call is in flight.
  void Refresh() {
    if (call_in_flight_ || !has_list_) return;
    Watch();
  }
  // Polls for changes through another client, in case the reply to the pending
  // watch was lost. Inexpensive: uses a cached read, which returns items only
  // if the watch is behind. Does nothing while a failed call waits for its
  // repetition.
  void Poll(CollectionClient<Record>& client) {
    if (!has_list_ || retry_) return;
    client.Watch(revision_.number, Duration::zero(), Freshness::kCached,
                 options_.call_deadline,
                 InEpoch([](CollectionReader& self, Reply reply) {
                   self.ReportEra(reply);
                   if (reply.error == ErrorKind::kHistoryLost) {
                     self.ReadCurrentList();
                     return;
                   }
                   if (reply.error != ErrorKind::kNone) {
                     self.observer_.OnPollFailed(reply.error);
                     return;
                   }
                   if (!reply.items.empty()) {
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
    retry_ = nullptr;
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
        list_freshness_, call_deadline_,
        InEpoch([](CollectionReader& self, Reply reply) {
          self.OnPage(std::move(reply));
        }));
  }

  void OnPage(Reply reply) {
    call_in_flight_ = false;
    ReportEra(reply);
    // Pages read so far are kept: if many instances read a long list at the
    // same time, starting over would multiply the calls.
    if (reply.error != ErrorKind::kNone) {
      // The remaining pages come from the cache: failed calls are charged, and
      // a long list has too many pages to retry each one after a rejection.
      list_freshness_ = Freshness::kCached;
      Retry(reply.error, [](CollectionReader& self) { self.ReadPage(); });
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
        Lower(list_revision_.value_or(reply.revision), reply.revision);
    if (has_more) {
      ReadPage();
      return;
    }
    if (!has_list_ && list_freshness_ == Freshness::kCached) {
      ConfirmList();
      return;
    }
    CompleteList(*list_revision_);
  }

  // Reads the changes since a cached list was made. Without a previous view, a
  // cached list alone may name targets that have left since.
  void ConfirmList() {
    call_in_flight_ = true;
    client_.Watch(list_revision_->number, Duration::zero(), Freshness::kCurrent,
                  call_deadline_,
                  InEpoch([](CollectionReader& self, Reply reply) {
                    self.OnListConfirmed(std::move(reply));
                  }));
  }

  void OnListConfirmed(Reply reply) {
    call_in_flight_ = false;
    ReportEra(reply);
    if (reply.error == ErrorKind::kHistoryLost) {
      OnSuccess();
      observer_.OnCacheOutdated();
      ReadCurrentList();
      return;
    }
    if (reply.error != ErrorKind::kNone) {
      Retry(reply.error, [](CollectionReader& self) { self.ConfirmList(); });
      return;
    }
    OnSuccess();
    for (auto& change : reply.items) ApplyToList(std::move(change));
    list_freshness_ = Freshness::kCurrent;
    CompleteList(Higher(*list_revision_, reply.revision));
  }

  void ApplyToList(CollectionItem<Record> change) {
    const auto listed = std::find_if(
        listed_items_.begin(), listed_items_.end(),
        [&](const auto& item) { return item.name == change.name; });
    if (listed == listed_items_.end()) {
      listed_items_.push_back(std::move(change));
    } else {
      *listed = std::move(change);
    }
    std::erase_if(listed_items_, [](const auto& item) { return item.deleted; });
  }

  void CompleteList(StoreRevision revision) {
    revision_ = revision;
    list_revision_.reset();
    has_list_ = true;
    backoff_ = Backoff{options_.backoff};
    const auto items = std::exchange(listed_items_, {});
    observer_.OnSnapshot(items, revision_);
    observer_.OnSynced();
    ScheduleWatch();
  }

  // Checks whether the store is available again.
  void Probe() {
    call_in_flight_ = true;
    client_.Watch(revision_.number, Duration::zero(), Freshness::kCached,
                  call_deadline_,
                  InEpoch([](CollectionReader& self, Reply reply) {
                    self.ReportEra(reply);
                    self.OnProbe(reply.error);
                  }));
  }

  void OnProbe(ErrorKind error) {
    call_in_flight_ = false;
    if (error != ErrorKind::kNone && error != ErrorKind::kHistoryLost) {
      Retry(error, [](CollectionReader& self) { self.Probe(); });
      return;
    }
    OnSuccess();
    if (error == ErrorKind::kHistoryLost) {
      ReadCurrentList();
    } else {
      Start();
    }
  }

  void ReportEra(const Reply& reply) {
    const StoreEra offered = reply.revision.era;
    if (offered == kUnknownEra || offered == era_) return;
    if (era_ != kUnknownEra) {
      observer_.OnEraChanged({era_, revision_.number}, reply.revision);
    }
    era_ = offered;
  }

  [[nodiscard]] static StoreRevision Lower(StoreRevision a, StoreRevision b) {
    return b.number < a.number ? b : a;
  }
  [[nodiscard]] static StoreRevision Higher(StoreRevision a, StoreRevision b) {
    return a.number < b.number ? b : a;
  }

  // A cached list can be older than the history that the store has kept, so
  // that the watch after it would fail again.
  void ReadCurrentList() { ReadList(Freshness::kCurrent); }

  void Watch() {
    timer_.Cancel(next_timer_);
    retry_ = nullptr;
    call_in_flight_ = true;
    last_watch_ = clock_.Now();
    const bool bypass_cache = last_watch_ < bypass_cache_until_ ||
                              list_freshness_ == Freshness::kCached;
    client_.Watch(revision_.number, options_.watch_timeout,
                  bypass_cache ? Freshness::kCurrent : options_.freshness,
                  options_.watch_timeout + call_deadline_,
                  InEpoch([](CollectionReader& self, Reply reply) {
                    self.OnWatch(std::move(reply));
                  }));
  }

  void OnWatch(Reply reply) {
    call_in_flight_ = false;
    ReportEra(reply);
    if (reply.error == ErrorKind::kHistoryLost) {
      OnSuccess();
      ReadCurrentList();
      return;
    }
    if (reply.error == ErrorKind::kRateLimited) {
      Retry(reply.error, [](CollectionReader& self) { self.Watch(); });
      return;
    }
    if (reply.error != ErrorKind::kNone) {
      // The list is read again once the store is available: after losing its
      // history, the store may hold a new watch although the changes that it
      // waits for have already been made.
      Retry(reply.error, [](CollectionReader& self) { self.Probe(); });
      return;
    }
    OnSuccess();
    list_freshness_ = Freshness::kCurrent;
    if (!reply.items.empty()) observer_.OnChanges(reply.items);
    observer_.OnSynced();
    if (reply.revision.number < revision_.number) {
      bypass_cache_until_ = clock_.Now() + options_.cache_bypass_period;
    }
    revision_ = Higher(revision_, reply.revision);
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

  template <typename Step>
  void Retry(ErrorKind error, Step step) {
    if (error == ErrorKind::kTimedOut) {
      call_deadline_ = std::min(2 * call_deadline_, options_.max_call_deadline);
    }
    if (error == ErrorKind::kRateLimited) {
      // Not an outage: a store that rejects calls is available.
      observer_.OnRateLimited();
    } else if (!unavailable_since_) {
      unavailable_since_ = clock_.Now();
      observer_.OnStoreUnavailable(error);
    }
    retry_ = [this, step] { step(*this); };
    // Another reader probes the store; its success ends the wait.
    const bool must_wait =
        has_list_ && unavailable_since_ && !probe_lock_.TryAcquire(this);
    if (must_wait) return;
    After(backoff_.Next(random_),
          [](CollectionReader& self) { self.RetryNow(); });
  }

  void OnSuccess() {
    backoff_.Reset();
    call_deadline_ = options_.call_deadline;
    probe_lock_.Release(this);
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
  ProbeLock& probe_lock_;
  CollectionReaderOptions options_;
  Backoff backoff_;
  Duration call_deadline_;

  // Items of the pages read so far.
  std::vector<CollectionItem<Record>> listed_items_;
  // Lowest revision of the pages read so far.
  std::optional<StoreRevision> list_revision_;
  // If the last list was cached, the next watch uses kCurrent.
  Freshness list_freshness_ = Freshness::kCurrent;
  StoreRevision revision_;
  // Era of the last reply that named one.
  StoreEra era_ = kUnknownEra;
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
  // The call that will be repeated after its backoff; empty if there is none.
  std::function<void()> retry_;
  // Expires with the reader, so that late callbacks can detect its destruction.
  std::shared_ptr<CollectionReader*> self_ =
      std::make_shared<CollectionReader*>(this);
};

}  // namespace sapphirestream

#endif  // SAPPHIRESTREAM_STORE_COLLECTION_READER_H_
