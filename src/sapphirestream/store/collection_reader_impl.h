// Calls of CollectionReader and what follows from their replies. Included by
// collection_reader.h.
#ifndef SAPPHIRESTREAM_STORE_COLLECTION_READER_IMPL_H_
#define SAPPHIRESTREAM_STORE_COLLECTION_READER_IMPL_H_

#include <algorithm>
#include <utility>

#include "sapphirestream/store/collection_reader.h"

namespace sapphirestream {

template <typename Record>
void CollectionReader<Record>::ReadList(Freshness freshness) {
  epoch_.Begin();
  context_.timer.Cancel(next_timer_);
  retry_ = nullptr;
  CancelCall();
  list_.Clear();
  list_freshness_ = freshness;
  last_relist_ = Now();
  ReadPage();
}

template <typename Record>
void CollectionReader<Record>::ReadCurrentList() {
  is_replacing_ = true;
  ReadList(Freshness::kCurrent);
}

template <typename Record>
void CollectionReader<Record>::ReadListOfChanges(Freshness freshness) {
  observer_.OnChangesTooLarge();
  ReadList(freshness);
}

template <typename Record>
void CollectionReader<Record>::CancelCall() {
  if (!std::exchange(call_in_flight_, false)) return;
  client_.Cancel();
  is_connected_ = false;
}

template <typename Record>
void CollectionReader<Record>::ObserveConnection(const Reply& reply) {
  const bool is_failure = reply.error == ErrorKind::kStoreUnavailable ||
                          reply.error == ErrorKind::kTimedOut;
  const bool is_answered = !is_failure || reply.revision.era != kUnknownEra;
  connection_lost_ = is_connected_ && !is_answered;
  is_connected_ = is_answered;
}

template <typename Record>
Duration CollectionReader<Record>::ListDeadline() const {
  const Duration deadline = outage_.call_deadline();
  return is_connected_ ? std::min(deadline, options_.max_probe_deadline)
                       : deadline;
}

template <typename Record>
CallLimits CollectionReader<Record>::ChangeLimits(Duration deadline) const {
  const std::size_t bytes = list_bytes_ + list_bytes_ / 2;
  return {deadline, std::max(kMinChangeBytes, bytes)};
}

template <typename Record>
void CollectionReader<Record>::ReadPage() {
  client_.List(list_.last_name(), list_freshness_, {.deadline = ListDeadline()},
               OnReply([](CollectionReader& self, Reply reply) {
                 self.OnPage(std::move(reply));
               }));
}

template <typename Record>
void CollectionReader<Record>::OnPage(Reply reply) {
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
    return Retry(reply.error, &CollectionReader::ReadPage);
  }
  OnSuccess();
  ObserveTime(reply, list_freshness_, call_began_);
  const bool has_more = reply.has_more && !reply.items.empty();
  const bool can_continue = list_.Append(std::move(reply));
  if (has_more && !can_continue) {
    return Retry(ErrorKind::kMalformedJson, &CollectionReader::ReadCurrentList);
  }
  if (has_more) return ReadPage();
  const bool is_consistent =
      list_freshness_ == Freshness::kCurrent && !list_.is_mixed();
  if (!has_list_ && !is_consistent) return ConfirmList();
  CompleteList(list_.revision());
}

template <typename Record>
void CollectionReader<Record>::ConfirmList() {
  client_.Watch(list_.revision().number, Duration::zero(), Freshness::kCurrent,
                {.deadline = outage_.call_deadline()},
                OnReply([](CollectionReader& self, Reply reply) {
                  self.OnListConfirmed(std::move(reply));
                }));
}

template <typename Record>
void CollectionReader<Record>::OnListConfirmed(Reply reply) {
  if (const EraCheck check = CheckEra(reply); check != EraCheck::kCurrent) {
    return RelistAfter(check, reply.error);
  }
  if (reply.error == ErrorKind::kHistoryLost) {
    OnSuccess();
    observer_.OnCacheOutdated();
    return ReadCurrentList();
  }
  if (IsUnusable(reply.error)) {
    return Retry(reply.error, &CollectionReader::ReadCurrentList);
  }
  if (reply.error != ErrorKind::kNone) {
    return Retry(reply.error, &CollectionReader::ConfirmList);
  }
  OnSuccess();
  ObserveTime(reply, Freshness::kCurrent, call_began_);
  for (auto& change : reply.items) list_.Apply(std::move(change));
  CompleteList(std::max(list_.revision(), reply.revision));
}

template <typename Record>
void CollectionReader<Record>::CompleteList(StoreRevision revision) {
  revision_ = revision;
  has_list_ = true;
  is_replacing_ = false;
  outage_.SetBackoff(options_.backoff);
  list_bytes_ = list_.bytes();
  const auto items = list_.Take();
  ScheduleWatch();
  observer_.OnSnapshot(items, revision_);
  observer_.OnSynced();
}

template <typename Record>
void CollectionReader<Record>::Probe() {
  client_.Watch(revision_.number, Duration::zero(), Freshness::kCurrent,
                ChangeLimits(std::min(outage_.call_deadline(),
                                      options_.max_probe_deadline)),
                OnReply([](CollectionReader& self, Reply reply) {
                  self.OnChanges(std::move(reply), Freshness::kCurrent);
                }));
}

template <typename Record>
void CollectionReader<Record>::Watch() {
  last_watch_ = Now();
  const Freshness freshness = freshness_.Select(Now());
  client_.Watch(
      revision_.number, options_.watch_timeout, freshness,
      ChangeLimits(options_.watch_timeout + options_.max_call_deadline),
      OnReply([freshness](CollectionReader& self, Reply reply) {
        self.OnChanges(std::move(reply), freshness);
      }));
  reply_due_ = last_watch_ + options_.watch_timeout;
}

template <typename Record>
void CollectionReader<Record>::OnChanges(Reply reply, Freshness freshness) {
  if (const EraCheck check = CheckEra(reply); check != EraCheck::kCurrent) {
    return RelistAfter(check, reply.error);
  }
  if (reply.error == ErrorKind::kHistoryLost) {
    OnSuccess();
    // A cache that lags behind the view does not know its revision yet.
    if (freshness == Freshness::kCached) return Probe();
    return ReadCurrentList();
  }
  if (reply.error == ErrorKind::kReplyTooLarge) {
    OnSuccess();
    return ReadListOfChanges(freshness);
  }
  if (IsUnusable(reply.error)) {
    return Retry(reply.error, &CollectionReader::ReadCurrentList);
  }
  if (reply.error != ErrorKind::kNone) {
    return Retry(reply.error, &CollectionReader::Probe);
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

template <typename Record>
ErrorKind CollectionReader<Record>::OnCheck(Reply reply, Freshness freshness,
                                            TimePoint begun) {
  const EraCheck check = CheckEra(reply);
  if (check == EraCheck::kOutdated || is_replacing_) return ErrorKind::kNone;
  const bool is_lost = reply.error == ErrorKind::kHistoryLost;
  if (check == EraCheck::kRestored ||
      (is_lost && freshness == Freshness::kCurrent)) {
    ReadCurrentList();
    return ErrorKind::kNone;
  }
  if (reply.error == ErrorKind::kReplyTooLarge) {
    ReadListOfChanges(freshness);
    return ErrorKind::kNone;
  }
  if (is_lost) return ErrorKind::kNone;
  if (reply.error != ErrorKind::kNone) {
    observer_.OnCheckFailed(reply.error);
    if (!checks_failed_since_) checks_failed_since_ = begun;
    return reply.error;
  }
  checks_failed_since_.reset();
  ApplyChanges(std::move(reply), freshness, begun);
  return ErrorKind::kNone;
}

template <typename Record>
void CollectionReader<Record>::ApplyChanges(Reply reply, Freshness freshness,
                                            TimePoint begun) {
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

template <typename Record>
void CollectionReader<Record>::ObserveTime(const Reply& reply,
                                           Freshness freshness,
                                           TimePoint begun) {
  if (freshness != Freshness::kCurrent) return;
  context_.revision_clock.Observe(begun, reply.revision);
}

template <typename Record>
EraCheck CollectionReader<Record>::CheckEra(Reply& reply) {
  const StoreRevision held{era_.era(), revision_.number};
  const StoreRevision offered = reply.revision;
  const EraCheck check = era_.Observe(offered.era);
  freshness_.OnEra(check, Now());
  if (check == EraCheck::kCurrent) SetEra(reply, era_.era());
  if (check == EraCheck::kOutdated) observer_.OnOutdatedReply(held, offered);
  if (check == EraCheck::kRestored) observer_.OnEraChanged(held, offered);
  return check;
}

template <typename Record>
void CollectionReader<Record>::RelistAfter(EraCheck check, ErrorKind error) {
  constexpr Step relist = &CollectionReader::ReadCurrentList;
  if (check == EraCheck::kRestored) is_replacing_ = true;
  if (check == EraCheck::kOutdated) {
    After(outage_.NextDelay(context_.random), relist);
  } else if (error == ErrorKind::kNone || error == ErrorKind::kHistoryLost) {
    OnSuccess();
    ReadCurrentList();
  } else {
    Retry(error, relist);
  }
}

template <typename Record>
void CollectionReader<Record>::ScheduleWatch() {
  const Duration since_watch = Now() - last_watch_;
  After(std::max(options_.min_watch_interval - since_watch, Duration::zero()),
        &CollectionReader::Watch);
}

template <typename Record>
void CollectionReader<Record>::Retry(ErrorKind error, Step step) {
  // A reply that cannot be used is an answer.
  if (IsUnusable(error)) OnSuccess();
  retry_ = [this, step] { (this->*step)(); };
  if (IsUnusable(error)) {
    observer_.OnReplyUnusable(error);
    return After(options_.unusable_pause, &CollectionReader::RetryNow);
  }
  if (error == ErrorKind::kRateLimited) observer_.OnRateLimited();
  const bool outage_begins = outage_.OnFailure(error, AwaySince());
  if (outage_begins) observer_.OnStoreUnavailable(error);
  // The next call uses a new connection. The connections of the other readers
  // may have gone silent as well, so the turn is kept.
  if (connection_lost_ && (is_replacing_ || !outage_begins)) {
    return After(Duration::zero(), &CollectionReader::RetryNow);
  }
  // Without a usable view, a reader does not wait for the others; nor if the
  // store answers.
  const bool takes_turns = outage_.is_away() && has_list_ && !is_replacing_ &&
                           error != ErrorKind::kRateLimited;
  if (takes_turns && !context_.probe_turns.Request(*this)) return;
  if (!takes_turns) context_.probe_turns.Leave(*this);
  OnTurn();
}

template <typename Record>
TimePoint CollectionReader<Record>::AwaySince() const {
  const TimePoint since =
      std::min(reply_due_, checks_failed_since_.value_or(TimePoint::max()));
  // The store has answered a later call, so that only a connection was lost.
  if (since < context_.revision_clock.LatestTime()) return Now();
  return std::min(since, Now());
}

template <typename Record>
void CollectionReader<Record>::OnTurn() {
  After(outage_.NextDelay(context_.random), &CollectionReader::RetryNow);
}

template <typename Record>
void CollectionReader<Record>::OnSuccess() {
  context_.probe_turns.Leave(*this);
  checks_failed_since_.reset();
  if (const auto outage = outage_.OnSuccess(Now())) {
    observer_.OnStoreRecovered(*outage);
  }
}

template <typename Record>
void CollectionReader<Record>::After(Duration delay, Step step) {
  context_.timer.Cancel(next_timer_);
  next_timer_ = context_.timer.After(
      delay, epoch_.Bind([step](CollectionReader& self) { (self.*step)(); }));
}

}  // namespace sapphirestream

#endif  // SAPPHIRESTREAM_STORE_COLLECTION_READER_IMPL_H_
