// Commits configuration changes: writes the changed shards under new names,
// then replaces the head with one conditional write.
#ifndef SAPPHIRESTREAM_STORE_CONFIG_WRITER_H_
#define SAPPHIRESTREAM_STORE_CONFIG_WRITER_H_

#include <cstddef>
#include <deque>
#include <functional>
#include <memory>

#include "sapphirestream/base/clock.h"
#include "sapphirestream/base/error.h"
#include "sapphirestream/base/random.h"
#include "sapphirestream/contract/change.h"
#include "sapphirestream/contract/configuration.h"
#include "sapphirestream/contract/effect.h"
#include "sapphirestream/store/backoff.h"
#include "sapphirestream/store/config_loader.h"
#include "sapphirestream/store/object_store.h"
#include "sapphirestream/store/timer.h"

namespace sapphirestream {

struct ConfigWriterOptions {
  Duration call_deadline = std::chrono::seconds(2);
  // No attempt is made after this time, and the operator gets an error.
  Duration change_deadline = std::chrono::seconds(10);
  // Of n concurrent writers, the last one to succeed has at least n - 1
  // conflicts.
  // If the store was restored, time for instances that know a later
  // configuration to write it back before a change is based on the head.
  Duration restoration_time = std::chrono::seconds(5);
  int max_conflicts = 32;
  int max_failures = 5;
  std::size_t max_queued = 64;
  // With 8 concurrent writers, a base of 50 ms takes 12.8 store calls per
  // change and one of 10 ms takes 17.6, at about the same median latency
  // (bench/config_calls).
  BackoffOptions backoff{std::chrono::milliseconds(50),
                         std::chrono::milliseconds(500)};
};

struct ChangeOutcome {
  // kNone if the change was accepted or, in a dry run, would be accepted.
  // Otherwise an error of Apply or of the review, kContradicted,
  // kVersionConflict, kStoreUnavailable (nothing was changed) or
  // kOutcomeUnknown.
  Error error{ErrorKind::kNone, ""};
  // The accepted version. With kContradicted, the version of the conflicting
  // change.
  ConfigVersion version{};
  // The change id had already been accepted before this call; `effect` is
  // empty.
  bool already_applied = false;
  ChangeEffect effect;
  // An accepted configuration that contains the change; null if there is none.
  std::shared_ptr<const Configuration> configuration;
};

// Not thread-safe: all calls and callbacks happen on the control thread.
// Changes submitted to one writer are processed sequentially.
class ConfigWriter {
 public:
  // Validates an applicable change and computes its effect; an error rejects
  // the change. Called again if the change is re-applied to a newer head.
  using Review = std::function<leaf::result<ChangeEffect>(
      const Configuration& before, const Configuration& after)>;
  using Done = std::function<void(const ChangeOutcome&)>;

  // The references must outlive the writer.
  ConfigWriter(ObjectStore& store, Timer& timer, const Clock& clock,
               Random& random, const ConfigWriterOptions& options,
               Review review);
  ~ConfigWriter();
  ConfigWriter(const ConfigWriter&) = delete;
  ConfigWriter& operator=(const ConfigWriter&) = delete;

  // Calls `done` exactly once unless the writer is destroyed first.
  void Submit(Change change, Done done);
  // Records an accepted configuration, so that its content is not read again.
  void Observe(std::shared_ptr<const Configuration> configuration);

 private:
  class Submission;
  void StartNext();
  // Whether the store was restored so recently that the head may yet be
  // replaced by a later configuration.
  [[nodiscard]] bool MayLackChanges(const LoadedConfig& loaded);

  ObjectStore& store_;
  Timer& timer_;
  const Clock& clock_;
  Random& random_;
  ConfigWriterOptions options_;
  Review review_;
  std::shared_ptr<const Configuration> known_;
  // Latest era in which a head of an earlier one was found, and since when.
  StoreEra restored_era_ = kUnknownEra;
  TimePoint restored_since_{};
  std::deque<std::shared_ptr<Submission>> queue_;
  std::shared_ptr<Submission> current_;
};

}  // namespace sapphirestream

#endif  // SAPPHIRESTREAM_STORE_CONFIG_WRITER_H_
