// The newest configuration and the one in use for new flows.
#include "sapphirestream/instance/config_timeline.h"

#include <utility>

namespace sapphirestream {
namespace {

// Returns the newest version whose change is at least kSettledAge old.
ConfigVersion SettledVersion(const Configuration& configuration,
                             WallTime wall_now) {
  ConfigVersion settled = configuration.version;
  for (auto it = configuration.recent_changes.rbegin();
       it != configuration.recent_changes.rend(); ++it) {
    if (wall_now - it->accepted >= ConfigTimeline::kSettledAge) break;
    settled = ConfigVersion{Value(it->version) - 1};
  }
  return settled;
}

}  // namespace

bool ConfigTimeline::OnConfiguration(
    std::shared_ptr<const Configuration> configuration, TimePoint now,
    WallTime wall_now) {
  if (newest_ != nullptr && configuration->version <= newest_->version) {
    return false;
  }
  newest_ = std::move(configuration);
  if (active_ == nullptr) {
    // Other instances may still use an earlier version. Its lookup tables
    // follow from the history that the newest configuration contains.
    auto settled = std::make_shared<Configuration>(*newest_);
    settled->version = SettledVersion(*newest_, wall_now);
    active_ = std::move(settled);
    if (active_->version == newest_->version) {
      active_ = newest_;
      return true;
    }
  }
  pending_.push_back({newest_, now});
  return true;
}

bool ConfigTimeline::OnTimer(ConfigVersion prepared_by_all, TimePoint now) {
  bool has_changed = false;
  while (!pending_.empty()) {
    const Pending& next = pending_.front();
    const bool is_due = now - next.prepared_at >= kActivationDelay ||
                        next.configuration->version <= prepared_by_all;
    if (!is_due) break;
    active_ = next.configuration;
    pending_.pop_front();
    has_changed = true;
  }
  return has_changed;
}

}  // namespace sapphirestream
