// Applies the collections of the platform's store to routes and targets, and
// determines whether they are complete enough to serve.
#ifndef SAPPHIRESTREAM_EDGE_IO_EDGE_VIEW_H_
#define SAPPHIRESTREAM_EDGE_IO_EDGE_VIEW_H_

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "sapphirestream/base/clock.h"
#include "sapphirestream/base/counter.h"
#include "sapphirestream/base/event_log.h"
#include "sapphirestream/edge/edge_log.h"
#include "sapphirestream/edge/evacuations.h"
#include "sapphirestream/edge/route_table.h"
#include "sapphirestream/edge/target_directory.h"
#include "sapphirestream/edge_io/malformed_entries.h"
#include "sapphirestream/edge_io/spare_entries.h"
#include "sapphirestream/edge_io/store_return.h"
#include "sapphirestream/edge_io/view_age.h"
#include "sapphirestream/store/collection.h"

namespace sapphirestream {

class EdgeView {
 public:
  // If at least kMinExpired targets, and at least 1 / kExpiryDivisor of
  // all listed ones, are removed at once, their entries have expired because of
  // a store outage.
  static constexpr std::size_t kExpiryDivisor = 2;
  static constexpr std::size_t kMinExpired = 3;
  // Longest time for which new flows wait for the view to be read again after a
  // pause. If the store cannot be reached, the last view is used.
  static constexpr Duration kMaxOutdatedTime = std::chrono::milliseconds(500);

  // Shorter outages do not make evacuations doubtful: clients wait longer for
  // the answer to an opening packet.
  static constexpr Duration kMinUnconfirmedTime = std::chrono::seconds(1);

  // Maps the name of a target's entry to the target's key.
  using KeyOf = std::optional<TargetKey> (*)(std::string_view name);

  struct Callbacks {
    // Routes or targets have been read.
    std::function<void()> on_read;
    // A call succeeded after an outage of the store.
    std::function<void()> on_store_recovered;
    // One collection was found to be in a later era than before.
    std::function<void(StoreEra)> on_store_restored;
  };

  // The references must outlive the view.
  EdgeView(RouteTable& routes, TargetDirectory& targets, EdgeLog& flow_log,
           EventLog& log, const Clock& clock, CounterSet& counters,
           KeyOf key_of, Callbacks callbacks);

  [[nodiscard]] CollectionObserver<TargetRecord>& target_observer() noexcept {
    return target_observer_;
  }
  [[nodiscard]] CollectionObserver<RouteConfig>& route_observer() noexcept {
    return route_observer_;
  }
  [[nodiscard]] CollectionObserver<Evacuation>& evacuation_observer() noexcept {
    return evacuation_observer_;
  }
  // Makes the view incomplete until the evacuations have been read as well.
  void FollowEvacuations() noexcept { follows_evacuations_ = true; }
  // Whether all collections have been read.
  [[nodiscard]] bool is_complete() const noexcept {
    return has_targets_ && routes_.version() != 0 &&
           (has_evacuations_ || !follows_evacuations_);
  }
  // The ages of the collections. Changed by SetCompleteUntil.
  [[nodiscard]] ViewAge& targets_age() noexcept { return targets_age_; }
  [[nodiscard]] ViewAge& routes_age() noexcept { return routes_age_; }
  [[nodiscard]] ViewAge& evacuations_age() noexcept { return evacuations_age_; }
  // `evacuations` is unset if they are not followed.
  void SetCompleteUntil(TimePoint targets, TimePoint routes,
                        TimePoint evacuations = {}) noexcept;
  // Time up to which the routes contain every acknowledged change, so that the
  // lack of a route proves that it was removed; unset before the first list.
  // After the store was restored, routes may be missing until the operator has
  // written them again. An instance that starts cannot know whether it was. And
  // a configuration that cannot be used may have routes that are not known
  // here.
  [[nodiscard]] TimePoint RoutesConfirmedUntil() const noexcept {
    return routes_confirmed_until_;
  }
  // Whether a current read of the routes would confirm them.
  [[nodiscard]] bool AreRoutesConfirmable() const noexcept;
  // A probe of a target has ended. If the target names itself as another entry
  // of its key does, or was not found at its address, that entry is used.
  // `answered_name` is empty if no target identified itself.
  void OnTargetProbed(TargetKey key, std::string_view answered_name);
  // Lists the targets that are gone by their spare entries, unless a target has
  // answered at the address or by the name of the entry that was removed. An
  // entry of another writer stays when those of targets expire.
  void UseSpareEntries();
  // Makes the next entry of each collection count; see
  // TargetDirectory::ForgetRevisions.
  void ForgetRevisions() noexcept;
  // Whether the store has been away for so long that an evacuation may have
  // ended without this instance knowing.
  [[nodiscard]] bool AreEvacuationsUnconfirmed() const noexcept;
  // Ends evacuations whose entry a restored store has lost.
  void ExpireEvacuations();
  // Whether a read of the evacuations that begins now decides about one.
  [[nodiscard]] bool IsEvacuationReadDue() const {
    return evacuations_.IsReadDue(clock_.Now());
  }
  // Marks the view as outdated until all collections have been read again,
  // because the process was paused: a target may have left or a route may have
  // been withdrawn meanwhile.
  void Invalidate() noexcept;
  // Whether new flows have to wait for the view to be read again.
  [[nodiscard]] bool is_outdated() const noexcept;
  // Whether targets may be missing because their entries expired during a store
  // outage and have not been written again yet.
  [[nodiscard]] bool is_recovering() const noexcept;

 private:
  static constexpr std::string_view kEvacuations = "evacuations";

  template <typename Record>
  class Observer final : public CollectionObserver<Record> {
   public:
    Observer(EdgeView& view, std::string_view collection)
        : view_(view), collection_(collection) {}
    void OnSnapshot(const std::vector<CollectionItem<Record>>& items,
                    StoreRevision revision) override {
      view_.ApplySnapshot(items, revision);
    }
    void OnChanges(const std::vector<CollectionItem<Record>>& items) override {
      view_.ApplyChanges(items);
    }
    void OnSynced() override { view_.callbacks_.on_read(); }
    void OnStoreUnavailable(ErrorKind error) override {
      view_.ReportStoreLost(collection_, error);
    }
    void OnStoreRecovered(Duration away) override {
      view_.ReportStoreRegained(collection_, away);
    }
    void OnCacheOutdated() override { view_.ReportCacheOutdated(collection_); }
    void OnCheckFailed(ErrorKind error) override {
      view_.ReportCheckFailed(collection_, error);
    }
    void OnEraChanged(StoreRevision held, StoreRevision offered) override {
      view_.ReportEraChanged(collection_, held, offered);
    }
    void OnOutdatedReply(StoreRevision held, StoreRevision offered) override {
      view_.ReportOutdatedReply(collection_, held, offered);
    }
    void OnChangesTooLarge() override {
      view_.ReportChangesTooLarge(collection_);
    }
    void OnReplyUnusable(ErrorKind error) override {
      view_.ReportReplyUnusable(collection_, error);
    }
    void OnRateLimited() override { view_.ReportRefused(collection_); }

   private:
    EdgeView& view_;
    std::string_view collection_;
  };
  using TargetItem = CollectionItem<TargetRecord>;
  using ConfigItem = CollectionItem<RouteConfig>;

  void ApplySnapshot(const std::vector<CollectionItem<TargetRecord>>& items,
                     StoreRevision revision);
  void ApplySnapshot(const std::vector<CollectionItem<RouteConfig>>& items,
                     StoreRevision revision);
  void ApplyChanges(const std::vector<CollectionItem<TargetRecord>>& items);
  void ApplyChanges(const std::vector<CollectionItem<RouteConfig>>& items);
  void ApplySnapshot(const std::vector<CollectionItem<Evacuation>>& items,
                     StoreRevision revision);
  void ApplyChanges(const std::vector<CollectionItem<Evacuation>>& items);
  void ReportEvacuations(const Evacuations::Changes& changes);
  void ApplyConfig(const ConfigItem& item);
  // The operator may have to write the configuration again from now on.
  void AwaitRewrite() noexcept;
  // Reports a configuration that cannot be used, once for each revision.
  void ReportUnusableConfig(const ConfigItem& item);
  void ReportStoreLost(std::string_view collection, ErrorKind error);
  void ReportStoreRegained(std::string_view collection, Duration away);
  void ReportCacheOutdated(std::string_view collection);
  void ReportCheckFailed(std::string_view collection, ErrorKind error);
  void ReportChangesTooLarge(std::string_view collection);
  void ReportReplyUnusable(std::string_view collection, ErrorKind error);
  void ReportRefused(std::string_view collection);
  void ReportEraChanged(std::string_view collection, StoreRevision held,
                        StoreRevision offered);
  void ReportOutdatedReply(std::string_view collection, StoreRevision held,
                           StoreRevision offered);
  void ReportList(std::string_view collection, std::size_t items,
                  StoreRevision revision);

  void ApplyTarget(const CollectionItem<TargetRecord>& item, bool propagated);
  // Whether the target is known by an entry of another name.
  [[nodiscard]] bool HasOtherName(TargetKey key, std::string_view name);
  // Keeps an entry of a target that another entry lists.
  void KeepSpare(TargetKey key, const TargetItem& item);
  // Lists a target by a spare entry in place of the one before.
  void ApplySpare(TargetKey key, const TargetItem& spare);
  // The same; the one before is the spare entry then.
  void ExchangeEntry(const EdgeTarget& target, const TargetItem& spare);
  // Reports an entry that cannot be used, once for each of its revisions.
  void ReportMalformed(const TargetItem& item);
  // Whether targets may be missing from a list because they registered after
  // the copy that the store was restored from.
  [[nodiscard]] bool IsFirstListOf(StoreEra era) const noexcept {
    return has_targets_ && targets_era_ < era;
  }
  // Treats the removal of many targets at once as a store outage, even if no
  // call from here has failed: a watch may have been pending throughout.
  void DetectMassExpiry(std::size_t vanished);
  // Whether the item removes a target that could get new flows.
  [[nodiscard]] bool RemovesTarget(const CollectionItem<TargetRecord>& item);
  void EraseTarget(TargetKey key, const TargetItem& removal);
  // Returns the revision of a target's entry, or zero if it is unknown.
  [[nodiscard]] StoreRevision HeldRevision(TargetKey key);
  // Reports why an entry or a removal was ignored although it says something
  // else than what is known. `held`: revision of the entry that was kept.
  void ReportIgnored(EntryOutcome outcome, TargetKey key, StoreRevision held,
                     const TargetItem& offered);
  // Returns the end of the last outage, unless the view is known to be complete
  // for a time at which living targets had registered again: a list may take
  // longer to arrive than they need.
  [[nodiscard]] std::optional<TimePoint> UnexplainedReturn() const noexcept;

  RouteTable& routes_;
  TargetDirectory& targets_;
  EdgeLog& flow_log_;
  EventLog& log_;
  const Clock& clock_;
  KeyOf key_of_;
  Callbacks callbacks_;
  Counter& lost_;
  Counter& refused_;
  Counter& malformed_;
  Counter& unusable_replies_;
  Counter& large_changes_;
  Counter& config_version_;
  Counter& listed_;
  Counter& era_;
  Counter& era_changes_;
  Counter& outdated_replies_;
  Counter& ignored_entries_;
  Counter& outdated_configs_;
  Counter& unusable_configs_;
  Counter& evacuated_domains_;
  Evacuations evacuations_;
  bool follows_evacuations_ = false;
  bool has_evacuations_ = false;
  // When the reader of the evacuations lost the store; unset while it has it.
  std::optional<TimePoint> evacuations_lost_at_;
  bool has_targets_ = false;
  // Era of the last list of targets.
  StoreEra targets_era_ = kUnknownEra;
  SpareEntries spare_entries_;
  MalformedEntries malformed_targets_;
  MalformedEntries unusable_config_entries_;
  ViewAge targets_age_;
  ViewAge routes_age_;
  ViewAge evacuations_age_;
  TimePoint routes_confirmed_until_{};
  // Name of the entry that was applied last; empty before.
  std::string config_entry_;
  // Whether the latest configuration was applied with all its routes.
  bool has_all_routes_ = false;
  // Routes that were read before this time may be those of a restored copy of
  // the store; unset before the first list.
  TimePoint routes_rewritten_by_{};
  // End of the last pause.
  TimePoint invalidated_at_{};
  // End of the last outage that can have made entries expire, and of those that
  // the first list after a restoration or the removal of many targets showed.
  StoreReturn store_return_;
  Observer<TargetRecord> target_observer_{*this, "targets"};
  Observer<RouteConfig> route_observer_{*this, "routes"};
  Observer<Evacuation> evacuation_observer_{*this, kEvacuations};
};

}  // namespace sapphirestream

#endif  // SAPPHIRESTREAM_EDGE_IO_EDGE_VIEW_H_
