// An instance with a slow link, and a storm of large configurations.
#ifndef SAPPHIRESTREAM_TEST_STORE_STORM_FIXTURE_H_
#define SAPPHIRESTREAM_TEST_STORE_STORM_FIXTURE_H_

#include <algorithm>
#include <chrono>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <optional>
#include <vector>

#include "sapphirestream/store/collection_checker.h"
#include "sapphirestream/store/collection_reader.h"
#include "test/store/model_store.h"

namespace sapphirestream {

struct StormOptions {
  double link_mbps = 10;
  std::size_t config_bytes = 275'000;
  int versions = 26;
  Duration gap = std::chrono::milliseconds(80);
  // Bound on the age of the views.
  Duration max_age = std::chrono::seconds(5);
  // Time from the storm before this one, whose end is the phase of the checks.
  Duration lead = std::chrono::seconds(7);
  Duration cache_lag{};
};

// Follows routes, a single object, and targets as an instance does.
class StormInstance final : private CollectionObserver<int> {
 public:
  StormInstance(testing::VirtualTime& time, ModelStore& store,
                const StormOptions& options, std::uint64_t seed)
      : time_(time), random_(seed), options_(options) {
    link_.bytes_per_s = options.link_mbps * 1e6 / 8;
    ReaderContext context{time, time, random_, turns_, revision_clock_};
    clients_.reserve(kClients);
    for (const char* const collection : {"targets", "routes"}) {
      clients_.emplace_back(store, connections_.emplace_back(), collection,
                            &link_);
      clients_.emplace_back(store, check_connection_, collection, &link_);
    }
    targets_.emplace(clients_[0], clients_[1], context, target_observer_,
                     Options());
    CollectionObserver<int>& route_observer = *this;
    routes_.emplace(clients_[2], clients_[3], context, route_observer,
                    Options());
    checker_.Emplace(*targets_, options.max_age);
    checker_.Emplace(*routes_, options.max_age);
    targets_->Start();
    routes_->Start();
  }
  // Returns the revision of the last configuration that was read.
  [[nodiscard]] std::uint64_t applied() const noexcept { return applied_; }
  [[nodiscard]] int current_calls() const {
    int calls = 0;
    for (const ModelClient& client : clients_) calls += client.current_calls;
    return calls;
  }
  [[nodiscard]] int cached_calls() const {
    int calls = 0;
    for (const ModelClient& client : clients_) calls += client.cached_calls;
    return calls;
  }
  [[nodiscard]] std::size_t bytes() const {
    std::size_t bytes = 0;
    for (const ModelClient& client : clients_) bytes += client.bytes;
    return bytes;
  }

 private:
  static constexpr std::size_t kClients = 4;

  struct TargetObserver final : CollectionObserver<int> {
    explicit TargetObserver(StormInstance& owner) : instance(owner) {}
    void OnSnapshot(const std::vector<CollectionItem<int>>& /*items*/,
                    StoreRevision /*revision*/) override {}
    void OnChanges(const std::vector<CollectionItem<int>>& /*items*/) override {
    }
    void OnSynced() override { instance.checker_.Run(); }
    void OnStoreUnavailable(ErrorKind /*error*/) override {}
    void OnStoreRecovered(Duration /*outage*/) override {
      instance.RetryReaders();
    }
    StormInstance& instance;
  };

  void OnSnapshot(const std::vector<CollectionItem<int>>& items,
                  StoreRevision /*revision*/) override {
    OnChanges(items);
  }
  void OnChanges(const std::vector<CollectionItem<int>>& items) override {
    for (const auto& item : items) {
      applied_ = std::max(applied_, item.revision.number);
    }
  }
  void OnSynced() override { checker_.Run(); }
  void OnStoreUnavailable(ErrorKind /*error*/) override {}
  void OnStoreRecovered(Duration /*outage*/) override { RetryReaders(); }
  void RetryReaders() {
    targets_->RetryNow();
    routes_->RetryNow();
    checker_.Run();
  }
  [[nodiscard]] CollectionReaderOptions Options() const {
    constexpr int quarter = 4;
    CollectionReaderOptions options;
    options.freshness = Freshness::kCached;
    options.watch_timeout = std::chrono::seconds(20);
    options.min_watch_interval = options_.max_age / quarter;
    options.max_probe_deadline = options_.max_age / 2;
    options.backoff.cap = options_.max_age / 3;
    return options;
  }

  testing::VirtualTime& time_;
  SeededRandom random_;
  StormOptions options_;
  ModelLink link_;
  std::deque<ModelConnection> connections_;
  ModelConnection check_connection_;
  std::vector<ModelClient> clients_;
  ProbeTurns turns_;
  RevisionClock revision_clock_;
  CollectionChecker checker_{time_, time_, revision_clock_};
  TargetObserver target_observer_{*this};
  std::optional<CollectionReader<int>> targets_;
  std::optional<CollectionReader<int>> routes_;
  std::uint64_t applied_ = 0;
};

// What a storm cost an instance.
struct StormResult {
  // From the acknowledgement of the last configuration until it was read.
  Duration in_force{};
  int current_calls = 0;
  int cached_calls = 0;
  std::size_t bytes = 0;
};

// Plays one storm after a calm time, and waits until its last configuration is
// read, a minute at most.
[[nodiscard]] inline StormResult PlayStorm(const StormOptions& options,
                                           std::uint64_t seed) {
  testing::VirtualTime time;
  ModelStore store{time};
  store.object_bytes = options.config_bytes;
  store.cache_lag = options.cache_lag;
  store.Put("routes", "main");
  StormInstance instance(time, store, options, seed);
  time.RunFor(options.lead);
  const int current = instance.current_calls();
  const int cached = instance.cached_calls();
  const std::size_t bytes = instance.bytes();
  for (int i = 0; i + 1 < options.versions; ++i) {
    store.Put("routes", "main");
    time.RunFor(options.gap);
  }
  const TimePoint acknowledged = store.Put("routes", "main");
  while (instance.applied() < store.revision &&
         time.Now() - acknowledged < std::chrono::minutes(1)) {
    time.RunFor(std::chrono::milliseconds(10));
  }
  return {time.Now() - acknowledged, instance.current_calls() - current,
          instance.cached_calls() - cached, instance.bytes() - bytes};
}

}  // namespace sapphirestream

#endif  // SAPPHIRESTREAM_TEST_STORE_STORM_FIXTURE_H_
