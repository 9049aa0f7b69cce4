// Lookups in a configuration. Each function returns null if the object does not
// exist.
#ifndef SAPPHIRESTREAM_CONTRACT_FIND_H_
#define SAPPHIRESTREAM_CONTRACT_FIND_H_

#include <algorithm>
#include <string_view>

#include "sapphirestream/contract/configuration.h"

namespace sapphirestream {

[[nodiscard]] inline const Service* FindService(
    const Configuration& configuration, ServiceId id) noexcept {
  const auto it = std::lower_bound(
      configuration.services.begin(), configuration.services.end(), id,
      [](const Service& service, ServiceId key) { return service.id < key; });
  return it != configuration.services.end() && it->id == id ? &*it : nullptr;
}

[[nodiscard]] inline const Service* FindService(
    const Configuration& configuration, std::string_view name) noexcept {
  const auto it = std::find_if(
      configuration.services.begin(), configuration.services.end(),
      [&](const Service& service) { return service.name == name; });
  return it != configuration.services.end() ? &*it : nullptr;
}

[[nodiscard]] inline const Target* FindTarget(const Service& service,
                                              TargetId id) noexcept {
  const auto it = std::lower_bound(
      service.targets.begin(), service.targets.end(), id,
      [](const Target& target, TargetId key) { return target.id < key; });
  return it != service.targets.end() && it->id == id ? &*it : nullptr;
}

// Ignores removed targets.
[[nodiscard]] inline const Target* FindTarget(const Service& service,
                                              const Endpoint& tunnel) noexcept {
  const auto it =
      std::find_if(service.targets.begin(), service.targets.end(),
                   [&](const Target& target) {
                     return !target.removed && target.tunnel == tunnel;
                   });
  return it != service.targets.end() ? &*it : nullptr;
}

[[nodiscard]] inline const Preset* FindPreset(
    const Configuration& configuration, std::string_view name) noexcept {
  const auto it = std::lower_bound(
      configuration.presets.begin(), configuration.presets.end(), name,
      [](const Preset& preset, std::string_view key) {
        return preset.name < key;
      });
  return it != configuration.presets.end() && it->name == name ? &*it : nullptr;
}

[[nodiscard]] inline const Announcement* FindAnnouncement(
    const Configuration& configuration, std::string_view name) noexcept {
  const auto it = std::lower_bound(
      configuration.announcements.begin(), configuration.announcements.end(),
      name, [](const Announcement& announcement, std::string_view key) {
        return announcement.name < key;
      });
  return it != configuration.announcements.end() && it->name == name ? &*it
                                                                     : nullptr;
}

// Returns the record of an accepted change, or null if the change was not
// accepted or was trimmed from the history.
[[nodiscard]] inline const ChangeRecord* FindChange(
    const Configuration& configuration, std::string_view id) noexcept {
  const auto it = std::find_if(
      configuration.recent_changes.begin(), configuration.recent_changes.end(),
      [&](const ChangeRecord& record) { return record.id == id; });
  return it != configuration.recent_changes.end() ? &*it : nullptr;
}

// Returns whether an announcement of the service is in force at `now`.
[[nodiscard]] inline bool IsAnnounced(const Configuration& configuration,
                                      ServiceId service,
                                      WallTime now) noexcept {
  return std::any_of(
      configuration.announcements.begin(), configuration.announcements.end(),
      [&](const Announcement& announcement) {
        return announcement.service == service && announcement.from <= now &&
               now < announcement.until;
      });
}

}  // namespace sapphirestream

#endif  // SAPPHIRESTREAM_CONTRACT_FIND_H_
