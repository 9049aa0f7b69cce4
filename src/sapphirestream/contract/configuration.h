// The complete configuration of one accepted version.
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

// Author, time and content of a change; kept for the most recent changes.
struct ChangeRecord {
  // Unique id chosen by the caller. Shows whether a change whose response was
  // lost took effect.
  std::string id;
  ConfigVersion version{};
  std::string author;
  // Description of the change, such as `add_target orders 127.0.1.4:6081`.
  std::string summary;
  // Sorted paths of the objects that the change modifies or depends on, such as
  // `service/orders/target/127.0.1.4:6081`. A concurrent change conflicts with
  // this one if it touches one of them, or an ancestor or descendant of one.
  std::vector<std::string> touched;
  WallTime accepted;

  bool operator==(const ChangeRecord&) const = default;
};

// Share of load-placed flows that was in force before some version.
struct FormerLoadShare {
  // Version that replaced it.
  ConfigVersion until{};
  WallTime until_at;
  std::uint32_t load_share_permille = 0;

  bool operator==(const FormerLoadShare&) const = default;
};

struct Configuration {
  ConfigVersion version{};
  // Name of the preset in force, which is always one of `presets`.
  std::string preset;
  // Sorted by name; never empty.
  std::vector<Preset> presets;
  // Load shares that were in force within the last kMaxFlowLifetime, oldest
  // first. Flows that were placed by load under them still have records.
  std::vector<FormerLoadShare> former_load_shares;
  // Sorted by id.
  std::vector<Service> services;
  // Sorted by name.
  std::vector<Announcement> announcements;
  // Failure domains that flows are assigned to, sorted; never empty.
  std::vector<DomainId> domains;
  // Id of the next target to be added; only increases.
  std::uint32_t next_target_id = 1;
  // Sorted from oldest to newest; at most kMaxRecentChanges records with
  // kMaxRecentTouched paths in total.
  std::vector<ChangeRecord> recent_changes;

  bool operator==(const Configuration&) const = default;
};

inline constexpr std::size_t kMaxRecentChanges = 256;
// Limits the size of the head object together with kMaxRecentChanges: with
// names of maximum length, 4,096 paths take about 0.4 MB of the 1 MB limit of
// the store.
inline constexpr std::size_t kMaxRecentTouched = 4096;

}  // namespace sapphirestream

#endif  // SAPPHIRESTREAM_CONTRACT_CONFIGURATION_H_
