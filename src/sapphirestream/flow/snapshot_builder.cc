// Derives the active, prepared and retained versions of each service.
#include "sapphirestream/flow/snapshot_builder.h"

#include <algorithm>
#include <iterator>
#include <utility>

#include "sapphirestream/flow/ownership.h"

namespace sapphirestream {
namespace {

constexpr std::uint32_t kAllPermille = 1000;

const Preset& PresetInForce(const Configuration& configuration) {
  const auto it = std::find_if(
      configuration.presets.begin(), configuration.presets.end(),
      [&](const Preset& p) { return p.name == configuration.preset; });
  return it != configuration.presets.end() ? *it
                                           : configuration.presets.front();
}

std::uint32_t LoadShareAt(const Configuration& newest, const Service& service,
                          ConfigVersion version) {
  if (!service.idempotent) return kAllPermille;
  for (const FormerLoadShare& former : newest.former_load_shares) {
    if (version < former.until) return former.load_share_permille;
  }
  return PresetInForce(newest).load_share_permille;
}

const Service* FindService(const Configuration& configuration, ServiceId id) {
  for (const Service& service : configuration.services) {
    if (service.id == id) return &service;
  }
  return nullptr;
}

bool IsAnnounced(const Configuration& configuration, ServiceId service,
                 WallTime now) {
  return std::any_of(
      configuration.announcements.begin(), configuration.announcements.end(),
      [&](const Announcement& a) {
        return a.service == service && a.from <= now && now < a.until;
      });
}

}  // namespace

std::vector<SnapshotBuilder::VersionTime> SnapshotBuilder::VersionsOf(
    const Configuration& newest, const Service& service) {
  std::vector<VersionTime> versions;
  for (const Target& target : service.targets) {
    versions.push_back({target.added, target.added_at});
    if (target.drained != ConfigVersion{}) {
      versions.push_back({target.drained, target.drained_at});
    }
  }
  if (service.idempotent) {
    for (const FormerLoadShare& former : newest.former_load_shares) {
      versions.push_back({former.until, former.until_at});
    }
  }
  std::sort(versions.begin(), versions.end(),
            [](const VersionTime& a, const VersionTime& b) {
              return a.version < b.version;
            });
  versions.erase(std::unique(versions.begin(), versions.end(),
                             [](const VersionTime& a, const VersionTime& b) {
                               return a.version == b.version;
                             }),
                 versions.end());
  return versions;
}

std::shared_ptr<const LookupTable> SnapshotBuilder::TableOf(
    const Service& service, ConfigVersion version) {
  const TableKey key{service.id, version};
  auto& used = used_[key];
  if (used != nullptr) return used;
  if (const auto it = tables_.find(key); it != tables_.end()) {
    used = it->second;
  } else {
    used = std::make_shared<const LookupTable>(
        LookupTable::Build(service, version));
  }
  return used;
}

ServiceView SnapshotBuilder::BuildService(const SnapshotInputs& inputs,
                                          const Service& service) {
  ServiceView view;
  view.service = service;
  for (const Target& target : service.targets) {
    view.targets.emplace(target.id, target);
  }
  view.slowdown_announced = IsAnnounced(*inputs.active, service.id, inputs.now);
  const auto make = [&](ConfigVersion version) {
    return ServiceVersion{
        .version = version,
        .table = TableOf(service, version),
        .load_share_permille = LoadShareAt(*inputs.newest, service, version)};
  };
  const std::vector<VersionTime> versions = VersionsOf(*inputs.newest, service);
  // The first version that is not active yet.
  const auto next = std::find_if(
      versions.begin(), versions.end(),
      [&](const VersionTime& v) { return v.version > inputs.active->version; });
  for (auto it = next; it != versions.end(); ++it) {
    view.prepared.push_back(make(it->version));
  }
  if (next == versions.begin()) {
    view.active = make(ConfigVersion{});
    return view;
  }
  // Uses the version of the service, not of the configuration: otherwise every
  // change to another service would rebuild the table.
  const auto current = std::prev(next);
  view.active = make(current->version);
  for (auto it = versions.begin(); it != current; ++it) {
    const auto age = inputs.now - std::next(it)->accepted;
    if (age >= kMaxFlowLifetime) continue;
    ServiceVersion retained = make(it->version);
    retained.recorded = age >= idle_timeout_;
    view.retained.push_back(std::move(retained));
  }
  return view;
}

std::shared_ptr<const Snapshot> SnapshotBuilder::Build(
    const SnapshotInputs& inputs) {
  auto snapshot = std::make_shared<Snapshot>();
  snapshot->version = inputs.active->version;
  snapshot->self = inputs.self;
  snapshot->own_domain = inputs.own_domain;
  snapshot->preset = PresetInForce(*inputs.active);
  snapshot->domains = inputs.active->domains;
  snapshot->members = inputs.members;
  snapshot->previous_members = inputs.previous_members;
  snapshot->confirmed = inputs.confirmed;
  snapshot->authority_until = inputs.authority_until;
  for (const Service& service : inputs.active->services) {
    // The newest configuration has the longer history of the same targets. A
    // service that it no longer contains is served until the deletion is
    // active.
    const Service* newest = FindService(*inputs.newest, service.id);
    snapshot->services.emplace(
        service.id, BuildService(inputs, newest ? *newest : service));
  }
  tables_ = std::exchange(used_, {});
  AssignSchedulers(*snapshot);
  return snapshot;
}

}  // namespace sapphirestream
