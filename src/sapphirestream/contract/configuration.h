// One accepted configuration, whole.
#ifndef SAPPHIRESTREAM_CONTRACT_CONFIGURATION_H_
#define SAPPHIRESTREAM_CONTRACT_CONFIGURATION_H_

#include <cstdint>
#include <string>
#include <vector>

#include "sapphirestream/base/clock.h"
#include "sapphirestream/base/id.h"
#include "sapphirestream/contract/announcement.h"
#include "sapphirestream/contract/preset.h"
#include "sapphirestream/contract/service.h"

namespace sapphirestream {

// Who changed what and when; kept for the most recent changes.
struct ChangeRecord {
  // Chosen by the caller, unique; finds out whether a change with a lost answer
  // took effect.
  std::string id;
  ConfigVersion version{};
  std::string author;
  // The change in words, such as `add_target orders 127.0.1.4:6081`.
  std::string summary;
  // Paths of the objects that the change touches, sorted, such as
  // `service/orders/target/127.0.1.4:6081`. A racing change that touches one of
  // them, or one above or below it, contradicts this change.
  std::vector<std::string> touched;
  WallTime accepted;

  bool operator==(const ChangeRecord&) const = default;
};

// Share of load-placed flows that was in force before a version.
struct FormerLoadShare {
  // The version that replaced it.
  ConfigVersion until{};
  WallTime until_at;
  std::uint32_t load_share_permille = 0;

  bool operator==(const FormerLoadShare&) const = default;
};

struct Configuration {
  ConfigVersion version{};
  // Name of the one preset in force; always one of `presets`.
  std::string preset;
  // Sorted by name; never empty.
  std::vector<Preset> presets;
  // Load shares in force within the last kMaxFlowLifetime, oldest first: flows
  // placed by load under them still have records.
  std::vector<FormerLoadShare> former_load_shares;
  // Sorted by id.
  std::vector<Service> services;
  // Sorted by name.
  std::vector<Announcement> announcements;
  // Failure domains that flows are homed in, sorted; never empty.
  std::vector<DomainId> domains;
  // The id that the next target gets; grows only.
  std::uint32_t next_target_id = 1;
  // Newest last; at most kMaxRecentChanges with kMaxRecentTouched paths.
  std::vector<ChangeRecord> recent_changes;

  bool operator==(const Configuration&) const = default;
};

inline constexpr std::size_t kMaxRecentChanges = 256;
// Bounds the head object together with kMaxRecentChanges: with the longest
// names, 4,096 paths take about 0.4 MB of the store's limit of 1 MB.
inline constexpr std::size_t kMaxRecentTouched = 4096;

}  // namespace sapphirestream

#endif  // SAPPHIRESTREAM_CONTRACT_CONFIGURATION_H_
