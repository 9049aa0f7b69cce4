// The newest configuration and the one in use for new flows.
#ifndef SAPPHIRESTREAM_INSTANCE_CONFIG_TIMELINE_H_
#define SAPPHIRESTREAM_INSTANCE_CONFIG_TIMELINE_H_

#include <deque>
#include <memory>

#include "sapphirestream/base/clock.h"
#include "sapphirestream/contract/configuration.h"

namespace sapphirestream {

// A version is prepared when it arrives and becomes active when all live
// instances have prepared it, or kActivationDelay later.
class ConfigTimeline {
 public:
  static constexpr Duration kActivationDelay = std::chrono::seconds(2);
  // When an instance starts, a change accepted longer ago than this is active
  // everywhere: 5 s until it is in force, and as much for skewed clocks.
  static constexpr std::chrono::seconds kSettledAge{10};

  // Takes a configuration. Returns false, and ignores it, unless it is newer
  // than all before.
  bool OnConfiguration(std::shared_ptr<const Configuration> configuration,
                       TimePoint now, WallTime wall_now);
  // Activates what is due. `prepared_by_all` is the lowest version that any
  // live instance has prepared, zero if unknown. Returns whether the active
  // version changed.
  bool OnTimer(ConfigVersion prepared_by_all, TimePoint now);

  // Null before the first configuration.
  [[nodiscard]] const std::shared_ptr<const Configuration>& newest()
      const noexcept {
    return newest_;
  }
  [[nodiscard]] const std::shared_ptr<const Configuration>& active()
      const noexcept {
    return active_;
  }

 private:
  struct Pending {
    std::shared_ptr<const Configuration> configuration;
    TimePoint prepared_at;
  };

  std::shared_ptr<const Configuration> newest_;
  std::shared_ptr<const Configuration> active_;
  // Prepared and not active, oldest first; the last one is `newest_`.
  std::deque<Pending> pending_;
};

}  // namespace sapphirestream

#endif  // SAPPHIRESTREAM_INSTANCE_CONFIG_TIMELINE_H_
