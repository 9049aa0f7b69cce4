// Keeps routes and targets as the platform's store tells them, and tells
// whether they suffice to serve.
#ifndef SAPPHIRESTREAM_EDGE_IO_EDGE_VIEW_H_
#define SAPPHIRESTREAM_EDGE_IO_EDGE_VIEW_H_

#include <cstdint>
#include <functional>
#include <optional>
#include <string_view>
#include <vector>

#include "sapphirestream/base/clock.h"
#include "sapphirestream/base/counter.h"
#include "sapphirestream/base/event_log.h"
#include "sapphirestream/edge/edge_log.h"
#include "sapphirestream/edge/route_table.h"
#include "sapphirestream/edge/target_directory.h"
#include "sapphirestream/store/collection_reader.h"

namespace sapphirestream {

class EdgeView {
 public:
  // Of the listed targets, as a divisor, and at least: as many vanish at once
  // only when the store let entries lapse.
  static constexpr std::size_t kLapseShare = 2;
  static constexpr std::size_t kLeastLapse = 3;

  // Returns the key of a target's entry by the entry's name.
  using KeyOf = std::optional<TargetKey> (*)(std::string_view name);

  // Called when routes or targets were read.
  using OnRead = std::function<void()>;

  // The references must outlive the view.
  EdgeView(RouteTable& routes, TargetDirectory& targets, EdgeLog& flow_log,
           EventLog& log, const Clock& clock, CounterSet& counters,
           KeyOf key_of, OnRead on_read);

  [[nodiscard]] CollectionObserver<TargetRecord>& target_observer() noexcept {
    return target_observer_;
  }
  [[nodiscard]] CollectionObserver<RouteConfig>& route_observer() noexcept {
    return route_observer_;
  }
  // Whether routes and targets are known.
  [[nodiscard]] bool is_complete() const noexcept {
    return has_targets_ && routes_.version() != 0;
  }
  // Whether targets may be missing that lapsed while the store was away and
  // are about to be written again.
  [[nodiscard]] bool is_settling() const noexcept { return StoreWasAway(); }

 private:
  template <typename Record>
  class Observer final : public CollectionObserver<Record> {
   public:
    Observer(EdgeView& view, std::string_view collection)
        : view_(view), collection_(collection) {}
    void OnSnapshot(const std::vector<CollectionItem<Record>>& items,
                    std::uint64_t revision) override {
      view_.TakeSnapshot(items, revision);
    }
    void OnChanges(const std::vector<CollectionItem<Record>>& items) override {
      view_.TakeChanges(items);
    }
    void OnSynced() override { view_.TakeCurrent(*this); }
    void OnStoreUnavailable(ErrorKind error) override {
      view_.TakeLost(collection_, error);
    }
    void OnStoreRecovered(Duration away) override {
      view_.TakeRegained(collection_, away);
    }
    void OnPollFailed(ErrorKind error) override {
      view_.TakeCheckFailed(collection_, error);
    }
    void OnRateLimited() override { view_.TakeRefused(collection_); }

   private:
    EdgeView& view_;
    std::string_view collection_;
  };
  using TargetObserver = Observer<TargetRecord>;
  using RouteObserver = Observer<RouteConfig>;

  void TakeSnapshot(const std::vector<CollectionItem<TargetRecord>>& items,
                    std::uint64_t revision);
  void TakeSnapshot(const std::vector<CollectionItem<RouteConfig>>& items,
                    std::uint64_t revision);
  void TakeChanges(const std::vector<CollectionItem<TargetRecord>>& items);
  void TakeChanges(const std::vector<CollectionItem<RouteConfig>>& items);
  void TakeCurrent(const TargetObserver& observer);
  void TakeCurrent(const RouteObserver& observer);
  void TakeLost(std::string_view collection, ErrorKind error);
  void TakeRegained(std::string_view collection, Duration away);
  void TakeCheckFailed(std::string_view collection, ErrorKind error);
  void TakeRefused(std::string_view collection);

  void TakeTarget(const CollectionItem<TargetRecord>& item, bool settled);
  // Entries that vanish together lapsed while the store was away, even if no
  // call here failed: a call may have waited for its return.
  void CheckForLapse(std::size_t vanished);
  // Whether the item takes away a target that could get new flows.
  [[nodiscard]] bool TakesAway(const CollectionItem<TargetRecord>& item);
  void EraseTarget(TargetKey key, std::uint64_t revision);
  [[nodiscard]] bool StoreWasAway() const noexcept;

  RouteTable& routes_;
  TargetDirectory& targets_;
  EdgeLog& flow_log_;
  EventLog& log_;
  const Clock& clock_;
  KeyOf key_of_;
  OnRead on_read_;
  Counter& lost_;
  Counter& refused_;
  Counter& malformed_;
  Counter& config_version_;
  Counter& listed_;
  bool has_targets_ = false;
  // When the store answered again after a failure.
  TimePoint regained_{};
  TargetObserver target_observer_{*this, "targets"};
  RouteObserver route_observer_{*this, "routes"};
};

}  // namespace sapphirestream

#endif  // SAPPHIRESTREAM_EDGE_IO_EDGE_VIEW_H_
