// Keeps a local view of a collection of objects in a store: lists it page by
// page, then watches for changes. While the store is unavailable, it is probed
// with inexpensive cached reads. After the store was restored from a backup,
// the view is replaced by a current list. Independent of the type of the
// objects and of the store protocol.
#ifndef SAPPHIRESTREAM_STORE_COLLECTION_READER_H_
#define SAPPHIRESTREAM_STORE_COLLECTION_READER_H_

#include <algorithm>
#include <functional>
#include <optional>
#include <utility>

#include "sapphirestream/base/clock.h"
#include "sapphirestream/base/random.h"
#include "sapphirestream/store/backoff.h"
#include "sapphirestream/store/collection.h"
#include "sapphirestream/store/collection_reader_options.h"
#include "sapphirestream/store/epoch.h"
#include "sapphirestream/store/era_tracker.h"
#include "sapphirestream/store/paged_list.h"
#include "sapphirestream/store/probe_turns.h"
#include "sapphirestream/store/timer.h"

namespace sapphirestream {

// Not thread-safe: all calls and callbacks happen on the control thread.
template <typename Record>
class CollectionReader final : private ProbeTurns::Reader {
 public:
  using Reply = CollectionReply<Record>;

  // The references must outlive the reader.
  CollectionReader(CollectionClient<Record>& client, Timer& timer,
                   const Clock& clock, Random& random,
                   CollectionObserver<Record>& observer,
                   ProbeTurns& probe_turns,
                   const CollectionReaderOptions& options)
      : client_(client),
        timer_(timer),
        clock_(clock),
        random_(random),
        observer_(observer),
        probe_turns_(probe_turns),
        options_(options),
        backoff_(options.initial_backoff),
        call_deadline_(options.call_deadline) {}
  ~CollectionReader() override {
    timer_.Cancel(next_timer_);
    probe_turns_.Leave(*this);
  }
  CollectionReader(const CollectionReader&) = delete;
  CollectionReader& operator=(const CollectionReader&) = delete;

  // Starts following the collection, or restarts with a full list. The first
  // list is current, since a cached one takes another call to confirm.
  void Start() { ReadList(has_list_ ? WatchFreshness() : Freshness::kCurrent); }
  // Repeats a failed call immediately instead of after its backoff. For use
  // when another call has shown that the store is available.
  void RetryNow() {
    if (!retry_) return;
    timer_.Cancel(next_timer_);
    std::exchange(retry_, nullptr)();
  }
  // Another call has shown that the store is in this era. A view of an earlier
  // era is replaced by a list.
  void ObserveEra(StoreEra era) {
    if (era_.Observe(era) != EraCheck::kRestored) return;
    BypassCache(options_.restored_bypass_period);
    if (has_list_ || !list_.is_empty()) ReadCurrentList();
  }
  // Starts a watch immediately unless a call is in flight.
  void Refresh() {
    if (call_in_flight_ || !has_list_) return;
    Watch();
  }
  // Polls for changes through another client, in case the reply to the pending
  // watch was lost. Inexpensive: uses a cached read unless the cache is
  // bypassed, which returns items only if the watch is behind. Does nothing
  // while a failed call waits for its repetition.
  void Poll(CollectionClient<Record>& client) {
    if (!has_list_ || retry_) return;
    client.Watch(revision_.number, Duration::zero(),
                 BypassesCache() ? Freshness::kCurrent : Freshness::kCached,
                 options_.call_deadline,
                 epoch_.Bind([](CollectionReader& self, Reply reply) {
                   self.OnPoll(std::move(reply));
                 }));
  }

 private:
  void ReadList(Freshness freshness) {
    epoch_.Begin();
    timer_.Cancel(next_timer_);
    retry_ = nullptr;
    if (call_in_flight_) client_.Cancel();
    list_.Clear();
    list_freshness_ = freshness;
    last_relist_ = clock_.Now();
    ReadPage();
  }

  void ReadPage() {
    call_in_flight_ = true;
    client_.List(list_.last_name(), list_freshness_, call_deadline_,
                 epoch_.Bind([](CollectionReader& self, Reply reply) {
                   self.OnPage(std::move(reply));
                 }));
  }

  void OnPage(Reply reply) {
    call_in_flight_ = false;
    const EraCheck check = CheckEra(reply);
    // The first page of a current list is already one of the new era.
    const bool is_usable =
        check == EraCheck::kCurrent ||
        (check == EraCheck::kRestored && reply.error == ErrorKind::kNone &&
         list_.is_empty() && list_freshness_ == Freshness::kCurrent);
    if (!is_usable) return RelistAfter(check, reply.error);
    // Pages read so far are kept: if many instances read a long list at the
    // same time, starting over would multiply the calls.
    if (reply.error != ErrorKind::kNone) {
      // The remaining pages come from the cache: failed calls are charged, and
      // a long list has too many pages to retry each one after a rejection.
      if (!BypassesCache()) list_freshness_ = Freshness::kCached;
      Retry(reply.error, [](CollectionReader& self) { self.ReadPage(); });
      return;
    }
    OnSuccess();
    const bool has_more = reply.has_more && !reply.items.empty();
    list_.Append(std::move(reply));
    if (has_more) {
      ReadPage();
      return;
    }
    if (!has_list_ && list_freshness_ == Freshness::kCached) {
      ConfirmList();
      return;
    }
    CompleteList(list_.revision());
  }

  // Reads the changes since a cached list was made. Without a previous view, a
  // cached list alone may name targets that have left since.
  void ConfirmList() {
    call_in_flight_ = true;
    client_.Watch(list_.revision().number, Duration::zero(),
                  Freshness::kCurrent, call_deadline_,
                  epoch_.Bind([](CollectionReader& self, Reply reply) {
                    self.OnListConfirmed(std::move(reply));
                  }));
  }

  void OnListConfirmed(Reply reply) {
    call_in_flight_ = false;
    if (const EraCheck check = CheckEra(reply); check != EraCheck::kCurrent) {
      return RelistAfter(check, reply.error);
    }
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
    for (auto& change : reply.items) list_.Apply(std::move(change));
    list_freshness_ = Freshness::kCurrent;
    CompleteList(std::max(list_.revision(), reply.revision));
  }

  void CompleteList(StoreRevision revision) {
    revision_ = revision;
    has_list_ = true;
    backoff_ = Backoff{options_.backoff};
    const auto items = list_.Take();
    observer_.OnSnapshot(items, revision_);
    observer_.OnSynced();
    ScheduleWatch();
  }

  void OnPoll(Reply reply) {
    const EraCheck check = CheckEra(reply);
    if (check == EraCheck::kOutdated) return;
    if (check == EraCheck::kRestored ||
        reply.error == ErrorKind::kHistoryLost) {
      return ReadCurrentList();
    }
    if (reply.error != ErrorKind::kNone) {
      return observer_.OnPollFailed(reply.error);
    }
    if (!reply.items.empty()) observer_.OnChanges(reply.items);
  }

  // Checks whether the store is available again.
  void Probe() {
    call_in_flight_ = true;
    client_.Watch(revision_.number, Duration::zero(), Freshness::kCached,
                  call_deadline_,
                  epoch_.Bind([](CollectionReader& self, Reply reply) {
                    self.OnProbe(std::move(reply));
                  }));
  }

  void OnProbe(Reply reply) {
    call_in_flight_ = false;
    if (const EraCheck check = CheckEra(reply); check != EraCheck::kCurrent) {
      return RelistAfter(check, reply.error);
    }
    if (reply.error != ErrorKind::kNone &&
        reply.error != ErrorKind::kHistoryLost) {
      Retry(reply.error, [](CollectionReader& self) { self.Probe(); });
      return;
    }
    OnSuccess();
    if (reply.error == ErrorKind::kHistoryLost) {
      ReadCurrentList();
    } else {
      Start();
    }
  }

  // Compares the era of a reply with that of the view. A reply of the current
  // era is completed by the era if it names none.
  EraCheck CheckEra(Reply& reply) {
    const StoreRevision held{era_.era(), revision_.number};
    const StoreRevision offered = reply.revision;
    const EraCheck check = era_.Observe(offered.era);
    switch (check) {
      case EraCheck::kCurrent:
        SetEra(reply, era_.era());
        break;
      case EraCheck::kOutdated:
        BypassCache(options_.cache_bypass_period);
        observer_.OnOutdatedReply(held, offered);
        break;
      case EraCheck::kRestored:
        BypassCache(options_.restored_bypass_period);
        observer_.OnEraChanged(held, offered);
        break;
    }
    return check;
  }

  // Reads a current list because a reply was not from the era of the view.
  void RelistAfter(EraCheck check, ErrorKind error) {
    constexpr auto relist = [](CollectionReader& self) {
      self.ReadCurrentList();
    };
    if (check == EraCheck::kOutdated) {
      After(backoff_.Next(random_), relist);
    } else if (error == ErrorKind::kNone || error == ErrorKind::kHistoryLost) {
      OnSuccess();
      ReadCurrentList();
    } else {
      Retry(error, relist);
    }
  }

  void BypassCache(Duration period) {
    bypass_cache_until_ = std::max(bypass_cache_until_, clock_.Now() + period);
  }
  [[nodiscard]] bool BypassesCache() const {
    return clock_.Now() < bypass_cache_until_;
  }
  // Consistency of watches, and of lists that replace an earlier one.
  [[nodiscard]] Freshness WatchFreshness() const {
    return BypassesCache() ? Freshness::kCurrent : options_.freshness;
  }

  // A cached list can be older than the history that the store has kept, so
  // that the watch after it would fail again.
  void ReadCurrentList() { ReadList(Freshness::kCurrent); }

  void Watch() {
    timer_.Cancel(next_timer_);
    retry_ = nullptr;
    call_in_flight_ = true;
    last_watch_ = clock_.Now();
    client_.Watch(revision_.number, options_.watch_timeout,
                  list_freshness_ == Freshness::kCached ? Freshness::kCurrent
                                                        : WatchFreshness(),
                  options_.watch_timeout + call_deadline_,
                  epoch_.Bind([](CollectionReader& self, Reply reply) {
                    self.OnWatch(std::move(reply));
                  }));
  }

  void OnWatch(Reply reply) {
    call_in_flight_ = false;
    if (const EraCheck check = CheckEra(reply); check != EraCheck::kCurrent) {
      return RelistAfter(check, reply.error);
    }
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
    if (reply.revision < revision_) BypassCache(options_.cache_bypass_period);
    revision_ = std::max(revision_, reply.revision);
    if (clock_.Now() - last_relist_ >= options_.relist_period) {
      ReadList(WatchFreshness());
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
    // The success of another reader ends the wait, too.
    const bool takes_turns = has_list_ && unavailable_since_;
    if (takes_turns && !probe_turns_.Request(*this)) return;
    OnTurn();
  }

  // ProbeTurns::Reader.
  void OnTurn() override {
    After(backoff_.Next(random_),
          [](CollectionReader& self) { self.RetryNow(); });
  }

  void OnSuccess() {
    backoff_.Reset();
    call_deadline_ = options_.call_deadline;
    probe_turns_.Leave(*this);
    if (!unavailable_since_) return;
    const Duration outage =
        clock_.Now() - *std::exchange(unavailable_since_, {});
    observer_.OnStoreRecovered(outage);
  }

  template <typename Step>
  void After(Duration delay, Step step) {
    next_timer_ = timer_.After(delay, epoch_.Bind(step));
  }

  CollectionClient<Record>& client_;
  Timer& timer_;
  const Clock& clock_;
  Random& random_;
  CollectionObserver<Record>& observer_;
  ProbeTurns& probe_turns_;
  CollectionReaderOptions options_;
  Backoff backoff_;
  Duration call_deadline_;

  // Pages read so far. All are from era_.
  PagedList<Record> list_;
  // If the last list was cached, the next watch uses kCurrent.
  Freshness list_freshness_ = Freshness::kCurrent;
  StoreRevision revision_;
  EraTracker era_;
  bool has_list_ = false;
  bool call_in_flight_ = false;
  // Start of the last watch.
  TimePoint last_watch_{};
  TimePoint last_relist_{};
  // The cache may be stale; reads bypass it until then.
  TimePoint bypass_cache_until_{};
  std::optional<TimePoint> unavailable_since_;
  // Begins with each list; replies to earlier calls are ignored.
  Epoch<CollectionReader> epoch_{*this};
  TimerId next_timer_ = kNoTimer;
  // The call that will be repeated after its backoff; empty if there is none.
  std::function<void()> retry_;
};

}  // namespace sapphirestream

#endif  // SAPPHIRESTREAM_STORE_COLLECTION_READER_H_
