// Keeps a local view of a collection of objects in a store: lists it page by
// page, then watches for changes. While the store is unavailable, it is probed
// with backoff. After the store was restored from a backup, the view is
// replaced by a current list. Independent of the type of the objects and of the
// store protocol.
#ifndef SAPPHIRESTREAM_STORE_COLLECTION_READER_H_
#define SAPPHIRESTREAM_STORE_COLLECTION_READER_H_

#include <algorithm>
#include <cstddef>
#include <functional>
#include <optional>
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

  // Changes of up to this size are read, however small the list is: that takes
  // 0.2 s on a link of 10 Mbit/s, and a list costs another call.
  static constexpr std::size_t kMinChangeBytes = std::size_t{256} * 1024;

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
    return has_list_ && !is_replacing_ && !outage_.is_away() &&
           !client_.IsReceiving();
  }
  void Check(Freshness freshness, Duration deadline, CheckDone done) override {
    const Freshness used = freshness_.Select(freshness, Now());
    check_client_.Watch(
        revision_.number, Duration::zero(), used, ChangeLimits(deadline),
        checks_.Bind([used, begun = Now(), done = std::move(done)](
                         CollectionReader& self, Reply reply) {
          done(self.OnCheck(std::move(reply), used, begun));
        }));
  }
  void OnChecksFailed(ErrorKind error) override {
    if (outage_.is_away() || !has_list_) return;
    epoch_.Begin();
    CancelCall();
    Retry(error, &CollectionReader::Probe);
  }

 private:
  // Whether the store answered with something that cannot be used.
  [[nodiscard]] static bool IsUnusable(ErrorKind error) noexcept {
    return error == ErrorKind::kMalformedJson ||
           error == ErrorKind::kReplyTooLarge;
  }
  // A call that is made later.
  using Step = void (CollectionReader::*)();
  [[nodiscard]] TimePoint Now() const { return context_.clock.Now(); }
  // A call of the client that follows the collection. Its reply is ignored if
  // another list has begun.
  template <typename Handler>
  auto OnReply(Handler handle) {
    call_in_flight_ = true;
    call_began_ = Now();
    reply_due_ = call_began_;
    return epoch_.Bind([handle](CollectionReader& self, Reply reply) {
      self.call_in_flight_ = false;
      self.ObserveConnection(reply);
      handle(self, std::move(reply));
    });
  }
  // Abandons the call in flight, if there is one, and its connection.
  void CancelCall();
  // Notes whether the store answered a call of client_.
  void ObserveConnection(const Reply& reply);
  void ReadList(Freshness freshness);
  // Reads the list because it is smaller than the changes: each version that
  // was missed is a change, and the list has the last one only.
  void ReadListOfChanges(Freshness freshness);
  // Limits of a call that reads changes.
  [[nodiscard]] CallLimits ChangeLimits(Duration deadline) const;
  // Replaces the view. A cached list can be older than the history that the
  // store has kept, so that the watch after it would fail again.
  void ReadCurrentList();
  void ReadPage();
  // A call on a connection that has answered may wait for a reply that never
  // comes, and its failure tells nothing about the time that a reply takes.
  [[nodiscard]] Duration ListDeadline() const;
  void OnPage(Reply reply);
  // Reads the changes since a cached list was made. Without a previous view, a
  // cached list alone may name targets that have left since.
  void ConfirmList();
  void OnListConfirmed(Reply reply);
  void CompleteList(StoreRevision revision);
  // Reads the changes since the view's revision from the store itself. Unlike
  // a watch that waits, this fails if the store has lost its history: after
  // that it may hold a watch although the changes that it waits for have
  // already been made.
  void Probe();
  void Watch();
  void OnChanges(Reply reply, Freshness freshness);
  ErrorKind OnCheck(Reply reply, Freshness freshness, TimePoint begun);
  void ApplyChanges(Reply reply, Freshness freshness, TimePoint begun);
  // Notes the revision that the store had reached when a current call began.
  void ObserveTime(const Reply& reply, Freshness freshness, TimePoint begun);
  // Compares the era of a reply with that of the view. A reply that names none
  // gets the current one.
  EraCheck CheckEra(Reply& reply);
  // Reads a current list because a reply was not from the era of the view.
  void RelistAfter(EraCheck check, ErrorKind error);
  void ScheduleWatch();
  void Retry(ErrorKind error, Step step);
  // Returns since when the store may have been away, now that a call or a check
  // has failed.
  [[nodiscard]] TimePoint AwaySince() const;
  // ProbeTurns::Reader.
  void OnTurn() override;
  void OnSuccess();
  void After(Duration delay, Step step);

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
  // Size of the last list.
  std::size_t list_bytes_ = 0;
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
  // Whether the last call of client_ was answered. The next one then uses the
  // same connection, which may have gone silent since.
  bool is_connected_ = false;
  // Whether the last call of client_ failed on such a connection.
  bool connection_lost_ = false;
  // Start of the last call of client_, and when the store had to answer it.
  TimePoint call_began_{};
  TimePoint reply_due_{};
  // Start of the first check that failed since the last one that did not.
  std::optional<TimePoint> checks_failed_since_;
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

#include "sapphirestream/store/collection_reader_impl.h"

#endif  // SAPPHIRESTREAM_STORE_COLLECTION_READER_H_
