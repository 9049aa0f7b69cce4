// Accepts changes: writes the changed shards under new names, then replaces the
// head by one conditional update.
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
#include "sapphirestream/store/object_store.h"
#include "sapphirestream/store/timer.h"

namespace sapphirestream {

struct ConfigWriterOptions {
  Duration call_deadline = std::chrono::seconds(2);
  // Time for a change, after which the operator gets an error.
  Duration change_deadline = std::chrono::seconds(10);
  // Of n writers that race, the last one loses n - 1 times at least.
  int max_conflicts = 32;
  int max_failures = 5;
  std::size_t max_waiting = 64;
  // With 8 racing writers a base of 50 ms takes 12.8 store calls per change and
  // one of 10 ms 17.6, at about the same median time (bench/config_calls).
  BackoffOptions backoff{std::chrono::milliseconds(50),
                         std::chrono::milliseconds(500)};
};

struct ChangeOutcome {
  // kNone if the change was accepted, or would be in a dry run. Otherwise an
  // error of Apply or of the review, or kContradicted, kVersionConflict,
  // kStoreUnavailable (nothing was changed) or kOutcomeUnknown.
  Error error{ErrorKind::kNone, ""};
  // The accepted version; after kContradicted the version that won.
  ConfigVersion version{};
  // The change id had been accepted before this call; there is no effect then.
  bool already_applied = false;
  ChangeEffect effect;
  // The configuration that this call made; null if it made none.
  std::shared_ptr<const Configuration> configuration;
};

// Not thread-safe: all calls and callbacks happen on the control thread.
// Changes submitted to one writer run one after the other.
class ConfigWriter {
 public:
  // Checks a change that can be applied and computes its effect; an error
  // refuses it. Called again when the change is re-applied to a newer head.
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

  // Calls `done` once, unless the writer is destroyed before.
  void Submit(Change change, Done done);
  // Takes note of an accepted configuration, whose content is not read again.
  void Observe(std::shared_ptr<const Configuration> configuration);

 private:
  class Submission;
  void StartNext();

  ObjectStore& store_;
  Timer& timer_;
  const Clock& clock_;
  Random& random_;
  ConfigWriterOptions options_;
  Review review_;
  std::shared_ptr<const Configuration> known_;
  std::deque<std::shared_ptr<Submission>> waiting_;
  std::shared_ptr<Submission> current_;
};

}  // namespace sapphirestream

#endif  // SAPPHIRESTREAM_STORE_CONFIG_WRITER_H_
