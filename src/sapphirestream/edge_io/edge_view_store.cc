// What the readers of the collections report about the store.
#include <chrono>

#include "sapphirestream/base/id.h"
#include "sapphirestream/edge_io/edge_view.h"

namespace sapphirestream {

void EdgeView::ReportStoreLost(std::string_view collection, ErrorKind error) {
  lost_.Add();
  store_return_.OnLost(collection);
  if (collection == kEvacuations) evacuations_lost_at_ = clock_.Now();
  log_.Write(LogLevel::kWarn, "store_lost",
             {{"collection", collection}, {"error", AnswerFor(error).name}});
}

void EdgeView::ReportStoreRegained(std::string_view collection, Duration away) {
  // An entry that is removed after a shorter outage has not expired because of
  // it.
  const bool may_expire_entries = targets_.MayExpireDuring(away);
  store_return_.OnRegained(collection, away, may_expire_entries, clock_.Now());
  if (may_expire_entries) targets_.OnStoreReturned(*store_return_.time());
  if (collection == kEvacuations) evacuations_lost_at_.reset();
  log_.Write(
      LogLevel::kInfo, "store_regained",
      {{"collection", collection},
       {"away_ms",
        std::chrono::duration_cast<std::chrono::milliseconds>(away).count()}});
  callbacks_.on_store_recovered();
}

void EdgeView::ReportCacheOutdated(std::string_view collection) {
  log_.Write(LogLevel::kWarn, "store_cache_outdated",
             {{"collection", collection}});
}

void EdgeView::ReportCheckFailed(std::string_view collection, ErrorKind error) {
  log_.Write(LogLevel::kWarn, "store_check_failed",
             {{"collection", collection}, {"error", AnswerFor(error).name}});
}

void EdgeView::ReportEraChanged(std::string_view collection, StoreRevision held,
                                StoreRevision offered) {
  AwaitRewrite();
  era_.Set(Value(offered.era));
  era_changes_.Add();
  log_.Write(LogLevel::kWarn, "store_era_changed",
             {{"collection", collection},
              {"held_era", Value(held.era)},
              {"held_revision", held.number},
              {"era", Value(offered.era)},
              {"revision", offered.number}});
  callbacks_.on_store_restored(offered.era);
}

void EdgeView::ReportOutdatedReply(std::string_view collection,
                                   StoreRevision held, StoreRevision offered) {
  outdated_replies_.Add();
  log_.Write(LogLevel::kWarn, "store_reply_outdated",
             {{"collection", collection},
              {"held_era", Value(held.era)},
              {"held_revision", held.number},
              {"era", Value(offered.era)},
              {"revision", offered.number}});
}

void EdgeView::ReportList(std::string_view collection, std::size_t items,
                          StoreRevision revision) {
  era_.Set(Value(revision.era));
  log_.Write(LogLevel::kInfo, "list_read",
             {{"collection", collection},
              {"items", items},
              {"revision", revision.number},
              {"era", Value(revision.era)}});
}

void EdgeView::ReportChangesTooLarge(std::string_view collection) {
  large_changes_.Add();
  log_.Write(LogLevel::kInfo, "changes_too_large",
             {{"collection", collection}});
}

void EdgeView::ReportReplyUnusable(std::string_view collection,
                                   ErrorKind error) {
  unusable_replies_.Add();
  log_.Write(LogLevel::kWarn, "store_reply_unusable",
             {{"collection", collection}, {"error", AnswerFor(error).name}});
}

void EdgeView::ReportRefused(std::string_view collection) {
  refused_.Add();
  log_.Write(LogLevel::kWarn, "store_refused", {{"collection", collection}});
}

}  // namespace sapphirestream
