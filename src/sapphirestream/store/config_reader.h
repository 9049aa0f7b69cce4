// Follows the configuration in the store and hands each newer one to a
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
#include "sapphirestream/store/object_store.h"
#include "sapphirestream/store/timer.h"

namespace sapphirestream {

struct ConfigReaderOptions {
  Duration call_deadline = std::chrono::seconds(2);
  // A change must be in force within 5 s even if it comes while a watch is
  // silent, so watches are short. A reader then makes one call per 2 s.
  Duration watch_period = std::chrono::seconds(2);
  // Time after the period before a watch counts as silent.
  Duration watch_grace = std::chrono::milliseconds(800);
  // All readers hear of a change at once; the jitter spreads their shard reads.
  Duration read_jitter = std::chrono::milliseconds(200);
  // Bursts of changes are read together.
  Duration min_read_interval = std::chrono::milliseconds(500);
  BackoffOptions backoff{std::chrono::milliseconds(50),
                         std::chrono::seconds(2)};
};

// Not thread-safe: all calls and callbacks happen on the control thread.
class ConfigReader {
 public:
  using Callback = std::function<void(std::shared_ptr<const Configuration>)>;

  // The references must outlive the reader. `on_newer` gets configurations with
  // strictly growing versions. Without a head object in the store it gets
  // InitialConfiguration(), so that the first change can be made.
  ConfigReader(ObjectStore& store, Timer& timer, const Clock& clock,
               Random& random, CounterSet& counters,
               const ConfigReaderOptions& options, Callback on_newer);
  ~ConfigReader();
  ConfigReader(const ConfigReader&) = delete;
  ConfigReader& operator=(const ConfigReader&) = delete;

  void Start();
  // Forgets calls in flight; Start may follow.
  void Stop();
  // Takes note of a configuration that came from a peer or from the writer:
  // what it contains is not read again. Does not call back.
  void Observe(std::shared_ptr<const Configuration> configuration);

  // Returns the newest configuration seen, or null.
  [[nodiscard]] const std::shared_ptr<const Configuration>& known()
      const noexcept {
    return known_;
  }

 private:
  // Runs `step` unless a newer step has begun or the reader is gone.
  template <typename Step>
  auto InEpoch(Step step);
  // Ends the current step; `on_timer` runs after `delay` unless another step
  // begins before.
  template <typename Step>
  void BeginStep(Duration delay, Step on_timer);
  void ReadHead();
  void Watch();
  void OnWatch(StoreAnswer<StoredObject> answer, TimePoint begun);
  void OnHead(StoreAnswer<StoredObject> answer);
  void LoadAfterJitter(StoredObject head);
  void Load(const StoredObject& head);
  void OnLoaded(const LoadAnswer& answer);
  void Deliver(std::shared_ptr<const Configuration> configuration);
  void RetryLater();
  void WatchLater(Duration delay);
  [[nodiscard]] Duration Jitter();

  ObjectStore& store_;
  Timer& timer_;
  const Clock& clock_;
  Random& random_;
  ConfigReaderOptions options_;
  Callback on_newer_;
  Backoff backoff_;
  Counter& silent_watches_;
  Counter& reverted_heads_;
  Counter& failures_;

  std::shared_ptr<const Configuration> known_;
  ObjectVersion head_version_ = kMustNotExist;
  TimePoint last_load_{};
  // Grows with each step; answers to earlier steps are ignored.
  std::uint64_t epoch_ = 0;
  // Of the current step.
  TimerId guard_ = kNoTimer;
  // Expires with the reader, so that late answers find out.
  std::shared_ptr<ConfigReader*> self_;
};

}  // namespace sapphirestream

#endif  // SAPPHIRESTREAM_STORE_CONFIG_READER_H_
