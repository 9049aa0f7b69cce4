// Watches the configuration in the store and passes each newer version to a
// callback.
#ifndef SAPPHIRESTREAM_STORE_CONFIG_READER_H_
#define SAPPHIRESTREAM_STORE_CONFIG_READER_H_

#include <cstdint>
#include <functional>
#include <memory>

#include "sapphirestream/base/clock.h"
#include "sapphirestream/base/counter.h"
#include "sapphirestream/base/random.h"
#include "sapphirestream/contract/configuration.h"
#include "sapphirestream/store/backoff.h"
#include "sapphirestream/store/config_loader.h"
#include "sapphirestream/store/epoch.h"
#include "sapphirestream/store/object_store.h"
#include "sapphirestream/store/timer.h"

namespace sapphirestream {

struct ConfigReaderOptions {
  Duration call_deadline = std::chrono::seconds(2);
  // Watches are short because a change must take effect within 5 s even if the
  // store does not answer the watch during which it is made. An idle reader
  // makes one call every 2 s.
  Duration watch_period = std::chrono::seconds(2);
  // Time after watch_period until an unanswered watch is abandoned.
  Duration watch_grace = std::chrono::milliseconds(800);
  // Spreads the shard reads of all readers, which are notified of a change at
  // the same time.
  Duration read_jitter = std::chrono::milliseconds(200);
  // Minimum time between two loads, which batches bursts of changes.
  Duration min_read_interval = std::chrono::milliseconds(500);
  BackoffOptions backoff{std::chrono::milliseconds(50),
                         std::chrono::seconds(2)};
};

// Not thread-safe: all calls and callbacks happen on the control thread.
class ConfigReader {
 public:
  using Callback = std::function<void(std::shared_ptr<const Configuration>)>;
  // Receives the newest known configuration if the store was restored from a
  // copy that lacks it.
  using LostCallback =
      std::function<void(std::shared_ptr<const Configuration>)>;

  // The references must outlive the reader. `on_update` receives configurations
  // with strictly increasing versions. If the store has no head object, it
  // receives InitialConfiguration(), so that the first change can be made.
  ConfigReader(ObjectStore& store, Timer& timer, const Clock& clock,
               Random& random, CounterSet& counters,
               const ConfigReaderOptions& options, Callback on_update,
               LostCallback on_lost = {});
  ~ConfigReader();
  ConfigReader(const ConfigReader&) = delete;
  ConfigReader& operator=(const ConfigReader&) = delete;

  void Start();
  // Ignores the results of calls in flight. The reader can be started again.
  void Stop();
  // Records a configuration received from a peer or from the writer, so that
  // its content is not read again. Does not invoke the callback.
  void Observe(std::shared_ptr<const Configuration> configuration);

  // Returns the newest known configuration, or null.
  [[nodiscard]] const std::shared_ptr<const Configuration>& known()
      const noexcept {
    return known_;
  }

 private:
  // Ends the current step and starts a new one. `on_timer` runs after `delay`
  // unless another step starts first.
  template <typename Step>
  void BeginStep(Duration delay, Step on_timer);
  void ReadHead();
  void Watch();
  void OnWatch(StoreResult<StoredObject> result, TimePoint started);
  void OnHead(StoreResult<StoredObject> result);
  void LoadAfterJitter(StoredObject head);
  void Load(const StoredObject& head);
  void OnLoaded(const LoadResult& result);
  // Handles a store that has an older configuration than the known one, or
  // none. `era`: of the reply.
  void OnReverted(StoreEra era);
  void Deliver(std::shared_ptr<const Configuration> configuration);
  void ScheduleRetry();
  void ScheduleWatch(Duration delay);
  [[nodiscard]] Duration Jitter();

  ObjectStore& store_;
  Timer& timer_;
  const Clock& clock_;
  Random& random_;
  ConfigReaderOptions options_;
  Callback on_update_;
  LostCallback on_lost_;
  Backoff backoff_;
  Counter& silent_watches_;
  Counter& reverted_heads_;
  Counter& forked_heads_;
  Counter& failures_;

  std::shared_ptr<const Configuration> known_;
  ObjectVersion head_version_ = kMustNotExist;
  // Era in which the store had the known configuration or an earlier one.
  StoreEra known_era_ = kUnknownEra;
  TimePoint last_load_{};
  // Begins with each step; results of earlier ones are ignored.
  Epoch<ConfigReader> epoch_{*this};
  // Timer of the current step.
  TimerId step_timer_ = kNoTimer;
};

}  // namespace sapphirestream

#endif  // SAPPHIRESTREAM_STORE_CONFIG_READER_H_
