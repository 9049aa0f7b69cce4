// Configurations of the simulated sites and their changes.
#include "bench/fleet/site.h"

#include <algorithm>

namespace sapphirestream::fleet {
namespace {

Service MakeService(Configuration& configuration, ServiceId id, FlowKind kind,
                    bool idempotent, std::size_t targets, std::size_t domains) {
  Service service;
  service.id = id;
  service.name = "service-" + std::to_string(Value(id));
  service.kind = kind;
  service.idempotent = idempotent;
  service.version = ConfigVersion{1};
  for (std::size_t i = 0; i < targets; ++i) {
    Target target;
    target.id = static_cast<TargetId>(configuration.next_target_id++);
    target.domain = static_cast<DomainId>(i % domains + 1);
    target.max_connections = 100'000;
    target.added = ConfigVersion{1};
    service.targets.push_back(target);
  }
  return service;
}

Service& FindService(Configuration& configuration, ServiceId id) {
  return *std::find_if(configuration.services.begin(),
                       configuration.services.end(),
                       [&](const Service& s) { return s.id == id; });
}

Configuration NextVersion(const Configuration& configuration) {
  Configuration next = configuration;
  next.version = static_cast<ConfigVersion>(Value(configuration.version) + 1);
  return next;
}

}  // namespace

Configuration MakeSite(const SiteOptions& options) {
  Configuration site;
  site.version = ConfigVersion{1};
  site.preset = "ordinary";
  Preset preset;
  preset.name = "ordinary";
  preset.load_share_permille = options.load_share_permille;
  preset.max_wait = options.max_wait;
  site.presets = {preset};
  for (std::size_t i = 0; i < options.domains; ++i) {
    site.domains.push_back(static_cast<DomainId>(i + 1));
  }
  const auto add = [&](ServiceId id, FlowKind kind, bool idempotent,
                       std::size_t targets) {
    site.services.push_back(
        MakeService(site, id, kind, idempotent, targets, options.domains));
  };
  add(kBoard, FlowKind::kStream, true, options.large_targets);
  add(kOrders, FlowKind::kRequest, false, options.large_targets);
  add(kUploads, FlowKind::kStream, true, options.small_targets);
  add(kDatagramOrders, FlowKind::kStream, false, options.large_targets);
  add(kShortFlows, FlowKind::kStream, true, options.large_targets);
  return site;
}

Configuration AddTarget(const Configuration& configuration, ServiceId service,
                        DomainId domain, WallTime now) {
  Configuration next = NextVersion(configuration);
  Target target;
  target.id = static_cast<TargetId>(next.next_target_id++);
  target.domain = domain;
  target.max_connections = 100'000;
  target.added = next.version;
  target.added_at = now;
  FindService(next, service).targets.push_back(target);
  return next;
}

Configuration DrainTarget(const Configuration& configuration, ServiceId service,
                          WallTime now) {
  Configuration next = NextVersion(configuration);
  for (Target& target : FindService(next, service).targets) {
    if (target.drained != ConfigVersion{}) continue;
    target.drained = next.version;
    target.drained_at = now;
    break;
  }
  return next;
}

Configuration SwitchPreset(const Configuration& configuration,
                           std::uint32_t load_share_permille, WallTime now) {
  Configuration next = NextVersion(configuration);
  next.former_load_shares.push_back(
      {next.version, now, next.presets.front().load_share_permille});
  next.presets.front().load_share_permille = load_share_permille;
  return next;
}

}  // namespace sapphirestream::fleet
