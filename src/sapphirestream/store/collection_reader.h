// Keeps a local view of a collection of objects in a store: lists it page by
// page, then watches for changes. While the store is unavailable, it is probed
// with backoff. After the store was restored from a backup, the view is
// replaced by a current list. Independent of the type of the objects and of the
// store protocol.
#ifndef SAPPHIRESTREAM_STORE_COLLECTION_READER_H_
#define SAPPHIRESTREAM_STORE_COLLECTION_READER_H_

#include <algorithm>
#include <functional>
#include <utility>

#include "sapphirestream/base/clock.h"
#include "sapphirestream/store/checked_collection.h"
#include "sapphirestream/store/collection.h"
#include "sapphirestream/store/collection_reader_options.h"
#include "sapphirestream/store/epoch.h"
#include "sapphirestream/store/era_tracker.h"
#include "sapphirestream/store/freshness_policy.h"
#include "sapphirestream/store/outage_tracker.h"
#include "sapphirestream/store/paged_list.h"
#include "sapphirestream/store/reader_context.h"

namespace sapphirestream {

// Not thread-safe: all calls and callbacks happen on the control thread.
template <typename Record>
class CollectionReader final : public CheckedCollection,
                               private ProbeTurns::Reader {
 public:
  using Reply = CollectionReply<Record>;

  // `check_client` has a connection of its own. The references must outlive the
  // reader.
  CollectionReader(CollectionClient<Record>& client,
                   CollectionClient<Record>& check_client,
                   const ReaderContext& context,
                   CollectionObserver<Record>& observer,
                   const CollectionReaderOptions& options)
      : client_(client),
        check_client_(check_client),
        context_(context),
        observer_(observer),
        options_(options),
        outage_(options.initial_backoff, options.call_deadline,
                options.max_call_deadline),
        freshness_(options) {}
  ~CollectionReader() override {
    context_.timer.Cancel(next_timer_);
    context_.probe_turns.Leave(*this);
  }
  CollectionReader(const CollectionReader&) = delete;
  CollectionReader& operator=(const CollectionReader&) = delete;

  // Starts following the collection with a current list: a cached one takes
  // another call to confirm.
  void Start() { ReadList(Freshness::kCurrent); }
  // Repeats a failed call immediately instead of after its backoff. For use
  // when another call has shown that the store is available.
  void RetryNow() {
    if (!retry_) return;
    context_.timer.Cancel(next_timer_);
    std::exchange(retry_, nullptr)();
  }
  // Another call has shown that the store is in this era. A view of an earlier
  // era is replaced by a list.
  void ObserveEra(StoreEra era) {
    if (era_.Observe(era) != EraCheck::kRestored) return;
    freshness_.OnEra(EraCheck::kRestored, Now());
    if (has_list_ || !list_.is_empty()) ReadCurrentList();
  }
  // Looks for changes immediately, because the view seems to lack one. Does
  // nothing while the store is away or the view is being replaced.
  void Refresh() {
    if (!IsCheckable() || is_refreshing_) return;
    is_refreshing_ = true;
    const auto freshness =
        cache_lags_ ? Freshness::kCurrent : Freshness::kCached;
    Check(freshness, options_.call_deadline,
          [this](ErrorKind) { is_refreshing_ = false; });
  }

  // CheckedCollection.
  [[nodiscard]] TimePoint CompleteUntil() const override {
    return has_list_ ? context_.revision_clock.CompleteUntil(revision_)
                     : TimePoint{};
  }
  [[nodiscard]] bool IsAway() const override { return outage_.is_away(); }
  [[nodiscard]] bool IsCheckable() const override {
    return has_list_ && !is_replacing_ && !outage_.is_away();
  }
  void Check(Freshness freshness, Duration deadline, CheckDone done) override {
    const Freshness used = freshness_.Select(freshness, Now());
    check_client_.Watch(
        revision_.number, Duration::zero(), used, deadline,
        checks_.Bind([used, begun = Now(), done = std::move(done)](
                         CollectionReader& self, Reply reply) {
          done(self.OnCheck(std::move(reply), used, begun));
        }));
  }
  void OnChecksFailed(ErrorKind error) override {
    if (outage_.is_away() || !has_list_) return;
    epoch_.Begin();
    if (call_in_flight_) client_.Cancel();
    Retry(error, [](CollectionReader& self) { self.Probe(); });
  }

 private:
  [[nodiscard]] TimePoint Now() const { return context_.clock.Now(); }

  // A call of the client that follows the collection. Its reply is ignored if
  // another list has begun.
  template <typename Step>
  auto OnReply(Step step) {
    call_in_flight_ = true;
    call_began_ = Now();
    return epoch_.Bind([step](CollectionReader& self, Reply reply) {
      self.call_in_flight_ = false;
      step(self, std::move(reply));
    });
  }

  void ReadList(Freshness freshness) {
    epoch_.Begin();
    context_.timer.Cancel(next_timer_);
    retry_ = nullptr;
    if (call_in_flight_) client_.Cancel();
    list_.Clear();
    list_freshness_ = freshness;
    last_relist_ = Now();
    ReadPage();
  }

  // Replaces the view. A cached list can be older than the history that the
  // store has kept, so that the watch after it would fail again.
  void ReadCurrentList() {
    is_replacing_ = true;
    ReadList(Freshness::kCurrent);
  }

  void ReadPage() {
    client_.List(list_.last_name(), list_freshness_, outage_.call_deadline(),
                 OnReply([](CollectionReader& self, Reply reply) {
                   self.OnPage(std::move(reply));
                 }));
  }

  void OnPage(Reply reply) {
    const EraCheck check = CheckEra(reply);
    // The first page of a current list is already one of the new era.
    const bool is_usable =
        check == EraCheck::kCurrent ||
        (check == EraCheck::kRestored && reply.error == ErrorKind::kNone &&
         list_.is_empty() && list_freshness_ == Freshness::kCurrent);
    if (!is_usable) return RelistAfter(check, reply.error);
    if (reply.error != ErrorKind::kNone) {
      // Pages read so far are kept: if many instances read a long list at the
      // same time, starting over would multiply the calls. The remaining pages
      // come from the cache: failed calls are charged, and a long list has too
      // many pages to retry each one after a rejection.
      list_freshness_ = freshness_.Select(Freshness::kCached, Now());
      return Retry(reply.error,
                   [](CollectionReader& self) { self.ReadPage(); });
    }
    OnSuccess();
    ObserveTime(reply, list_freshness_, call_began_);
    const bool has_more = reply.has_more && !reply.items.empty();
    list_.Append(std::move(reply));
    if (has_more) return ReadPage();
    if (!has_list_ && list_freshness_ == Freshness::kCached) {
      return ConfirmList();
    }
    CompleteList(list_.revision());
  }

  // Reads the changes since a cached list was made. Without a previous view, a
  // cached list alone may name targets that have left since.
  void ConfirmList() {
    client_.Watch(list_.revision().number, Duration::zero(),
                  Freshness::kCurrent, outage_.call_deadline(),
                  OnReply([](CollectionReader& self, Reply reply) {
                    self.OnListConfirmed(std::move(reply));
                  }));
  }

  void OnListConfirmed(Reply reply) {
    if (const EraCheck check = CheckEra(reply); check != EraCheck::kCurrent) {
      return RelistAfter(check, reply.error);
    }
    if (reply.error == ErrorKind::kHistoryLost) {
      OnSuccess();
      observer_.OnCacheOutdated();
      return ReadCurrentList();
    }
    if (reply.error != ErrorKind::kNone) {
      return Retry(reply.error,
                   [](CollectionReader& self) { self.ConfirmList(); });
    }
    OnSuccess();
    ObserveTime(reply, Freshness::kCurrent, call_began_);
    for (auto& change : reply.items) list_.Apply(std::move(change));
    CompleteList(std::max(list_.revision(), reply.revision));
  }

  void CompleteList(StoreRevision revision) {
    revision_ = revision;
    has_list_ = true;
    is_replacing_ = false;
    outage_.SetBackoff(options_.backoff);
    const auto items = list_.Take();
    ScheduleWatch();
    observer_.OnSnapshot(items, revision_);
    observer_.OnSynced();
  }

  // Reads the changes since the view's revision from the store itself. Unlike
  // a watch that waits, this fails if the store has lost its history: after
  // that it may hold a watch although the changes that it waits for have
  // already been made.
  void Probe() {
    client_.Watch(
        revision_.number, Duration::zero(), Freshness::kCurrent,
        std::min(outage_.call_deadline(), options_.max_probe_deadline),
        OnReply([](CollectionReader& self, Reply reply) {
          self.OnChanges(std::move(reply), Freshness::kCurrent);
        }));
  }

  void Watch() {
    last_watch_ = Now();
    const Freshness freshness = freshness_.Select(Now());
    client_.Watch(revision_.number, options_.watch_timeout, freshness,
                  options_.watch_timeout + options_.max_call_deadline,
                  OnReply([freshness](CollectionReader& self, Reply reply) {
                    self.OnChanges(std::move(reply), freshness);
                  }));
  }

  void OnChanges(Reply reply, Freshness freshness) {
    if (const EraCheck check = CheckEra(reply); check != EraCheck::kCurrent) {
      return RelistAfter(check, reply.error);
    }
    if (reply.error == ErrorKind::kHistoryLost) {
      OnSuccess();
      // A cache that lags behind the view does not know its revision yet.
      if (freshness == Freshness::kCached) return Probe();
      return ReadCurrentList();
    }
    if (reply.error != ErrorKind::kNone) {
      return Retry(reply.error, [](CollectionReader& self) { self.Probe(); });
    }
    OnSuccess();
    const bool has_more = reply.has_more;
    ApplyChanges(std::move(reply), freshness, call_began_);
    if (has_more) return Probe();
    if (Now() - last_relist_ >= options_.relist_period) {
      return ReadList(freshness_.Select(Now()));
    }
    ScheduleWatch();
  }

  ErrorKind OnCheck(Reply reply, Freshness freshness, TimePoint begun) {
    const EraCheck check = CheckEra(reply);
    if (check == EraCheck::kOutdated || is_replacing_) return ErrorKind::kNone;
    const bool is_lost = reply.error == ErrorKind::kHistoryLost;
    if (check == EraCheck::kRestored ||
        (is_lost && freshness == Freshness::kCurrent)) {
      ReadCurrentList();
      return ErrorKind::kNone;
    }
    if (is_lost) return ErrorKind::kNone;
    if (reply.error != ErrorKind::kNone) {
      observer_.OnCheckFailed(reply.error);
      return reply.error;
    }
    ApplyChanges(std::move(reply), freshness, begun);
    return ErrorKind::kNone;
  }

  void ApplyChanges(Reply reply, Freshness freshness, TimePoint begun) {
    // More changes may follow, so that this is not the store's revision yet.
    if (!reply.has_more) ObserveTime(reply, freshness, begun);
    if (freshness == Freshness::kCached) {
      cache_lags_ = reply.revision < revision_;
    }
    // The view contains these already, from a call that was answered earlier.
    std::erase_if(reply.items, [this](const auto& item) {
      return !item.deleted && item.revision <= revision_;
    });
    revision_ = std::max(revision_, reply.revision);
    if (!reply.items.empty()) observer_.OnChanges(reply.items);
    observer_.OnSynced();
  }

  // Notes the revision that the store had reached when a current call began.
  void ObserveTime(const Reply& reply, Freshness freshness, TimePoint begun) {
    if (freshness != Freshness::kCurrent) return;
    context_.revision_clock.Observe(begun, reply.revision);
  }

  // Compares the era of a reply with that of the view. A reply that names none
  // gets the current one.
  EraCheck CheckEra(Reply& reply) {
    const StoreRevision held{era_.era(), revision_.number};
    const StoreRevision offered = reply.revision;
    const EraCheck check = era_.Observe(offered.era);
    freshness_.OnEra(check, Now());
    if (check == EraCheck::kCurrent) SetEra(reply, era_.era());
    if (check == EraCheck::kOutdated) observer_.OnOutdatedReply(held, offered);
    if (check == EraCheck::kRestored) observer_.OnEraChanged(held, offered);
    return check;
  }

  // Reads a current list because a reply was not from the era of the view.
  void RelistAfter(EraCheck check, ErrorKind error) {
    constexpr auto relist = [](CollectionReader& self) {
      self.ReadCurrentList();
    };
    if (check == EraCheck::kOutdated) {
      After(outage_.NextDelay(context_.random), relist);
    } else if (error == ErrorKind::kNone || error == ErrorKind::kHistoryLost) {
      OnSuccess();
      ReadCurrentList();
    } else {
      Retry(error, relist);
    }
  }

  void ScheduleWatch() {
    const Duration since_watch = Now() - last_watch_;
    After(std::max(options_.min_watch_interval - since_watch, Duration::zero()),
          [](CollectionReader& self) { self.Watch(); });
  }

  template <typename Step>
  void Retry(ErrorKind error, Step step) {
    if (error == ErrorKind::kRateLimited) observer_.OnRateLimited();
    if (outage_.OnFailure(error, Now())) observer_.OnStoreUnavailable(error);
    retry_ = [this, step] { step(*this); };
    // Without a usable view, a reader does not wait for the others.
    const bool takes_turns = outage_.is_away() && has_list_ && !is_replacing_;
    if (takes_turns && !context_.probe_turns.Request(*this)) return;
    OnTurn();
  }

  // ProbeTurns::Reader.
  void OnTurn() override {
    After(outage_.NextDelay(context_.random),
          [](CollectionReader& self) { self.RetryNow(); });
  }

  void OnSuccess() {
    context_.probe_turns.Leave(*this);
    if (const auto outage = outage_.OnSuccess(Now())) {
      observer_.OnStoreRecovered(*outage);
    }
  }

  template <typename Step>
  void After(Duration delay, Step step) {
    context_.timer.Cancel(next_timer_);
    next_timer_ = context_.timer.After(delay, epoch_.Bind(step));
  }

  CollectionClient<Record>& client_;
  CollectionClient<Record>& check_client_;
  ReaderContext context_;
  CollectionObserver<Record>& observer_;
  CollectionReaderOptions options_;
  OutageTracker outage_;
  FreshnessPolicy freshness_;
  // Pages read so far. All are from era_.
  PagedList<Record> list_;
  Freshness list_freshness_ = Freshness::kCurrent;
  // The view contains all changes up to this revision.
  StoreRevision revision_;
  EraTracker era_;
  bool has_list_ = false;
  // Whether the view cannot be completed by changes, only by a list.
  bool is_replacing_ = false;
  // Whether the last cached reply was older than the view.
  bool cache_lags_ = false;
  bool is_refreshing_ = false;
  bool call_in_flight_ = false;
  // Start of the last call of client_.
  TimePoint call_began_{};
  TimePoint last_watch_{};
  TimePoint last_relist_{};
  // Begins with each list; replies to earlier calls of client_ are ignored.
  Epoch<CollectionReader> epoch_{*this};
  // Never begins again: each check is answered while the reader exists.
  Epoch<CollectionReader> checks_{*this};
  TimerId next_timer_ = kNoTimer;
  // The call that will be repeated after its backoff; empty if there is none.
  std::function<void()> retry_;
};

}  // namespace sapphirestream

#endif  // SAPPHIRESTREAM_STORE_COLLECTION_READER_H_
