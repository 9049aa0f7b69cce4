// Writes the newest configuration back to a store that has lost it, because it
// was restored from a copy that is older.
#ifndef SAPPHIRESTREAM_STORE_CONFIG_RESTORER_H_
#define SAPPHIRESTREAM_STORE_CONFIG_RESTORER_H_

#include <cstddef>
#include <cstdint>
#include <memory>
#include <string>

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

struct ConfigRestorerOptions {
  Duration call_deadline = std::chrono::seconds(2);
  // The first attempt waits as well, so that usually one instance writes and
  // the others find its head.
  BackoffOptions backoff{std::chrono::milliseconds(100),
                         std::chrono::seconds(1)};
};

// Not thread-safe: all calls and callbacks happen on the control thread.
class ConfigRestorer {
 public:
  // The references must outlive the restorer.
  ConfigRestorer(ObjectStore& store, Timer& timer, Random& random,
                 CounterSet& counters, const ConfigRestorerOptions& options);
  ~ConfigRestorer();
  ConfigRestorer(const ConfigRestorer&) = delete;
  ConfigRestorer& operator=(const ConfigRestorer&) = delete;

  // Writes an accepted configuration unless the store has the same version or a
  // later one. Repeats failed calls until it does. Replaces an earlier
  // configuration that is not written yet.
  void Restore(std::shared_ptr<const Configuration> configuration);

 private:
  void ScheduleAttempt();
  void Load();
  void OnLoaded(const LoadResult& result);
  void WriteShards(const LoadedConfig& stored);
  void OnShardWritten(ErrorKind error);
  void WriteHead();

  ObjectStore& store_;
  Timer& timer_;
  Random& random_;
  ConfigRestorerOptions options_;
  Backoff backoff_;
  Counter& restored_;

  // Null if the store is not known to lack a configuration.
  std::shared_ptr<const Configuration> configuration_;
  // The head to write, and the version of the one that it replaces.
  std::string head_value_;
  ObjectVersion head_version_ = kMustNotExist;
  std::size_t pending_writes_ = 0;
  ErrorKind shard_error_ = ErrorKind::kNone;
  // Begins with each attempt; results of earlier ones are ignored.
  Epoch<ConfigRestorer> epoch_{*this};
  TimerId timer_id_ = kNoTimer;
};

}  // namespace sapphirestream

#endif  // SAPPHIRESTREAM_STORE_CONFIG_RESTORER_H_
