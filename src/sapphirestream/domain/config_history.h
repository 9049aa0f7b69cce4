// The configuration versions that an instance holds, and the deltas between
// recent ones.
#ifndef SAPPHIRESTREAM_DOMAIN_CONFIG_HISTORY_H_
#define SAPPHIRESTREAM_DOMAIN_CONFIG_HISTORY_H_

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "sapphirestream/base/clock.h"
#include "sapphirestream/base/id.h"
#include "sapphirestream/domain/config_lifecycle.h"

namespace sapphirestream {

struct HeldVersion {
  ConfigVersion version{};
  ConfigState state = ConfigState::kPrepared;
  TimePoint prepared_at;
  // Null once the version is retained.
  std::shared_ptr<const std::string> body;
};

// A delta from one version to a later one.
struct ConfigStep {
  ConfigVersion base{};
  ConfigVersion version{};
  std::shared_ptr<const std::string> delta;
};

class ConfigHistory {
 public:
  // A version is dropped `retention` after a higher one superseded it.
  ConfigHistory(Duration retention, TimePoint now)
      : retention_(retention), incomplete_since_(now) {}

  // Adds a version. `delta`, if given, turns the newest body into `body`.
  // Precondition: `version` is above newest().
  void Prepare(ConfigVersion version, std::string body,
               std::optional<std::string> delta, TimePoint now);
  // Activates the highest version that is not above `fully_prepared`, or that
  // was prepared at least `wait` ago. Returns whether the active version
  // changed.
  bool Activate(ConfigVersion fully_prepared, Duration wait, TimePoint now);
  // Drops versions whose retention time is over; returns whether any were.
  bool DropIdle(TimePoint now);

  [[nodiscard]] ConfigVersion newest() const noexcept { return newest_; }
  [[nodiscard]] ConfigVersion active() const noexcept { return active_; }
  // The newest body; null before the first one.
  [[nodiscard]] const std::shared_ptr<const std::string>& body()
      const noexcept {
    return body_;
  }
  // Returns the steps from `base` to the newest version, or nothing if some are
  // no longer stored or if they would be longer than the body.
  [[nodiscard]] std::optional<std::vector<ConfigStep>> StepsFrom(
      ConfigVersion base) const;
  // All versions that are not dropped, ascending.
  [[nodiscard]] std::vector<HeldVersion> versions() const;
  // Whether this instance has seen every version that may still be in use on
  // any instance. False within the retention time after a start or after
  // skipped versions; until then no bucket can be considered stable.
  [[nodiscard]] bool IsComplete(TimePoint now) const noexcept {
    return is_complete_ || now - incomplete_since_ >= retention_;
  }

 private:
  struct Entry {
    ConfigLifecycle lifecycle;
    TimePoint prepared_at;
    TimePoint retained_at;
    std::shared_ptr<const std::string> body;
  };

  Duration retention_;
  TimePoint incomplete_since_;
  bool is_complete_ = false;
  ConfigVersion newest_{};
  ConfigVersion active_{};
  std::shared_ptr<const std::string> body_;
  std::map<ConfigVersion, Entry> entries_;
  // Keyed by base version; limited in number and total bytes.
  std::map<ConfigVersion, ConfigStep> steps_;
  std::size_t step_bytes_ = 0;
};

}  // namespace sapphirestream

#endif  // SAPPHIRESTREAM_DOMAIN_CONFIG_HISTORY_H_
