// Applies each operation to a copy of the configuration.
#include <algorithm>
#include <limits>
#include <string>
#include <string_view>
#include <utility>

#include "sapphirestream/contract/change.h"
#include "sapphirestream/contract/change_json.h"
#include "sapphirestream/contract/find.h"
#include "sapphirestream/contract/limits.h"
#include "sapphirestream/contract/touched.h"

namespace sapphirestream {
namespace {

constexpr std::string_view kEllipsis = "...";

// The copy that is being modified, and the path of the current operation for
// error messages.
struct ApplyState {
  Configuration configuration;
  WallTime now;
  std::string path;

  [[nodiscard]] leaf::error_id Fail(ErrorKind kind, std::string_view field,
                                    const std::string& detail) const {
    return MakeError(kind, path + "." + std::string(field) + ": " + detail);
  }
};

leaf::result<Service*> FindServiceByName(ApplyState& state,
                                         const std::string& name) {
  const Service* service = FindService(state.configuration, name);
  if (service == nullptr) {
    return state.Fail(ErrorKind::kNotFound, "service", name);
  }
  const auto index = service - state.configuration.services.data();
  return &state.configuration.services[static_cast<std::size_t>(index)];
}

// Returns the target and sets the version of its service to the new one.
leaf::result<Target*> FindTargetForUpdate(ApplyState& state,
                                          const std::string& name,
                                          const Endpoint& tunnel) {
  BOOST_LEAF_AUTO(service, FindServiceByName(state, name));
  const Target* target = FindTarget(*service, tunnel);
  if (target == nullptr) {
    return state.Fail(ErrorKind::kNotFound, "tunnel", ToString(tunnel));
  }
  service->version = state.configuration.version;
  return &service->targets[static_cast<std::size_t>(target -
                                                    service->targets.data())];
}

// A target that is first drained and later removed keeps the version that
// drained it.
void MarkDrained(const ApplyState& state, Target& target) {
  if (target.drained != ConfigVersion{}) return;
  target.drained = state.configuration.version;
  target.drained_at = state.now;
}

template <typename T>
void UpsertByName(std::vector<T>& elements, T element) {
  const auto it =
      std::lower_bound(elements.begin(), elements.end(), element,
                       [](const T& a, const T& b) { return a.name < b.name; });
  if (it != elements.end() && it->name == element.name) {
    *it = std::move(element);
  } else {
    elements.insert(it, std::move(element));
  }
}

template <typename T>
void EraseByName(std::vector<T>& elements, const std::string& name) {
  std::erase_if(elements, [&](const T& e) { return e.name == name; });
}

leaf::result<void> ApplyOperation(ApplyState& state, const CreateService& op) {
  auto& services = state.configuration.services;
  if (services.size() >= kMaxServices) {
    return state.Fail(ErrorKind::kOutOfRange, "name",
                      std::to_string(services.size()) +
                          " services exist, at most " +
                          std::to_string(kMaxServices) + " are allowed");
  }
  for (const Service& service : services) {
    if (service.name == op.name) {
      return state.Fail(ErrorKind::kAlreadyExists, "name", op.name);
    }
    if (service.id == op.id) {
      return state.Fail(
          ErrorKind::kAlreadyExists, "id",
          std::to_string(Value(op.id)) + " is the id of " + service.name);
    }
    if (service.address == op.address) {
      return state.Fail(
          ErrorKind::kAlreadyExists, "address",
          ToString(op.address) + " is the address of " + service.name);
    }
  }
  const auto it = std::lower_bound(
      services.begin(), services.end(), op.id,
      [](const Service& service, ServiceId id) { return service.id < id; });
  services.insert(it, Service{op.id,
                              op.name,
                              op.address,
                              op.kind,
                              op.idempotent,
                              {},
                              state.configuration.version});
  return {};
}

leaf::result<void> ApplyOperation(ApplyState& state, const DeleteService& op) {
  BOOST_LEAF_AUTO(service, FindServiceByName(state, op.service));
  const auto remaining =
      std::count_if(service->targets.begin(), service->targets.end(),
                    [](const Target& target) { return !target.removed; });
  if (remaining != 0) {
    return state.Fail(ErrorKind::kOutOfRange, "service",
                      op.service + " has " + std::to_string(remaining) +
                          " targets, 0 are required");
  }
  const ServiceId id = service->id;
  std::erase_if(state.configuration.announcements,
                [&](const Announcement& a) { return a.service == id; });
  std::erase_if(state.configuration.services,
                [&](const Service& s) { return s.id == id; });
  return {};
}

leaf::result<void> ApplyOperation(ApplyState& state, const AddTarget& op) {
  BOOST_LEAF_AUTO(service, FindServiceByName(state, op.service));
  if (FindTarget(*service, op.tunnel) != nullptr) {
    return state.Fail(ErrorKind::kAlreadyExists, "tunnel", ToString(op.tunnel));
  }
  if (service->targets.size() >= kMaxTargetsPerService) {
    return state.Fail(
        ErrorKind::kOutOfRange, "service",
        op.service + " has " + std::to_string(service->targets.size()) +
            " targets, at most " + std::to_string(kMaxTargetsPerService) +
            " are allowed");
  }
  auto& next = state.configuration.next_target_id;
  if (next == std::numeric_limits<std::uint32_t>::max()) {
    return state.Fail(ErrorKind::kOutOfRange, "tunnel",
                      "all target ids are used up");
  }
  // Ids only increase, so appending keeps the order.
  Target target;
  target.id = TargetId{next++};
  target.tunnel = op.tunnel;
  target.domain = op.domain;
  target.slots = op.slots;
  target.max_connections = op.max_connections;
  target.weight = op.weight;
  target.added = state.configuration.version;
  target.added_at = state.now;
  service->targets.push_back(target);
  service->version = state.configuration.version;
  return {};
}

leaf::result<void> ApplyOperation(ApplyState& state, const DrainTarget& op) {
  BOOST_LEAF_AUTO(target, FindTargetForUpdate(state, op.service, op.tunnel));
  MarkDrained(state, *target);
  return {};
}

leaf::result<void> ApplyOperation(ApplyState& state, const RemoveTarget& op) {
  BOOST_LEAF_AUTO(target, FindTargetForUpdate(state, op.service, op.tunnel));
  MarkDrained(state, *target);
  target->removed = true;
  return {};
}

leaf::result<void> ApplyOperation(ApplyState& state, const PutPreset& op) {
  auto& presets = state.configuration.presets;
  if (FindPreset(state.configuration, op.preset.name) == nullptr &&
      presets.size() >= kMaxPresets) {
    return state.Fail(ErrorKind::kOutOfRange, "preset",
                      std::to_string(presets.size()) +
                          " presets exist, at most " +
                          std::to_string(kMaxPresets) + " are allowed");
  }
  UpsertByName(presets, op.preset);
  return {};
}

leaf::result<void> ApplyOperation(ApplyState& state, const DeletePreset& op) {
  if (FindPreset(state.configuration, op.preset) == nullptr) {
    return state.Fail(ErrorKind::kNotFound, "preset", op.preset);
  }
  if (state.configuration.preset == op.preset) {
    return state.Fail(ErrorKind::kOutOfRange, "preset",
                      op.preset + " is in force and cannot be deleted");
  }
  EraseByName(state.configuration.presets, op.preset);
  return {};
}

leaf::result<void> ApplyOperation(ApplyState& state, const SwitchPreset& op) {
  if (FindPreset(state.configuration, op.preset) == nullptr) {
    return state.Fail(ErrorKind::kNotFound, "preset", op.preset);
  }
  state.configuration.preset = op.preset;
  return {};
}

leaf::result<void> ApplyOperation(ApplyState& state,
                                  const PutAnnouncement& op) {
  BOOST_LEAF_AUTO(service, FindServiceByName(state, op.service));
  if (op.until <= op.from) {
    return state.Fail(ErrorKind::kOutOfRange, "until", "not later than from");
  }
  const auto& all = state.configuration.announcements;
  const auto others = std::count_if(
      all.begin(), all.end(), [&](const Announcement& announcement) {
        return announcement.service == service->id &&
               announcement.name != op.name;
      });
  if (static_cast<std::size_t>(others) >= kMaxAnnouncementsPerService) {
    return state.Fail(ErrorKind::kOutOfRange, "service",
                      op.service + " has " + std::to_string(others) +
                          " announcements, at most " +
                          std::to_string(kMaxAnnouncementsPerService) +
                          " are allowed");
  }
  UpsertByName(state.configuration.announcements,
               Announcement{op.name, service->id, op.from, op.until, op.text});
  return {};
}

leaf::result<void> ApplyOperation(ApplyState& state,
                                  const DeleteAnnouncement& op) {
  if (FindAnnouncement(state.configuration, op.announcement) == nullptr) {
    return state.Fail(ErrorKind::kNotFound, "announcement", op.announcement);
  }
  EraseByName(state.configuration.announcements, op.announcement);
  return {};
}

leaf::result<void> ApplyOperation(ApplyState& state, const SetDomains& op) {
  if (op.domains.empty() || op.domains.size() > kMaxDomains) {
    return state.Fail(ErrorKind::kOutOfRange, "domains",
                      std::to_string(op.domains.size()) +
                          " elements are outside 1 to " +
                          std::to_string(kMaxDomains));
  }
  auto domains = op.domains;
  std::sort(domains.begin(), domains.end());
  domains.erase(std::unique(domains.begin(), domains.end()), domains.end());
  state.configuration.domains = std::move(domains);
  return {};
}

// Returns the name of the object that an operation changes, for the summary.
std::string Subject(const CreateService& op) { return op.name; }
std::string Subject(const DeleteService& op) { return op.service; }
std::string Subject(const AddTarget& op) {
  return op.service + " " + ToString(op.tunnel);
}
std::string Subject(const DrainTarget& op) {
  return op.service + " " + ToString(op.tunnel);
}
std::string Subject(const RemoveTarget& op) {
  return op.service + " " + ToString(op.tunnel);
}
std::string Subject(const PutPreset& op) { return op.preset.name; }
std::string Subject(const DeletePreset& op) { return op.preset; }
std::string Subject(const SwitchPreset& op) { return op.preset; }
std::string Subject(const PutAnnouncement& op) {
  return op.name + " " + op.service;
}
std::string Subject(const DeleteAnnouncement& op) { return op.announcement; }
std::string Subject(const SetDomains& op) {
  std::string out;
  for (const DomainId domain : op.domains) {
    out += (out.empty() ? "" : ",") + std::to_string(Value(domain));
  }
  return out;
}

// Records the load share that the change replaces, if any. Beyond the limit,
// the two oldest entries are merged into one with the higher share: more flows
// than necessary are then treated as recorded, which costs redirects but breaks
// no flow.
void RecordFormerLoadShare(const Configuration& before, ApplyState& state) {
  Configuration& after = state.configuration;
  auto& former = after.former_load_shares;
  std::erase_if(former, [&](const FormerLoadShare& entry) {
    return entry.until_at + kMaxFlowLifetime <= state.now;
  });
  const Preset* old = FindPreset(before, before.preset);
  const Preset* now = FindPreset(after, after.preset);
  if (old == nullptr || now == nullptr) return;
  if (old->load_share_permille == now->load_share_permille) return;
  former.push_back({after.version, state.now, old->load_share_permille});
  if (former.size() > kMaxFormerLoadShares) {
    former[1].load_share_permille =
        std::max(former[0].load_share_permille, former[1].load_share_permille);
    former.erase(former.begin());
  }
}

// Limited to services that the change touches, so that no other shard is
// rewritten.
void DeleteExpiredTargets(ApplyState& state) {
  for (Service& service : state.configuration.services) {
    if (service.version != state.configuration.version) continue;
    std::erase_if(service.targets, [&](const Target& target) {
      return target.removed &&
             target.drained_at + kMaxFlowLifetime <= state.now;
    });
  }
}

}  // namespace

Configuration InitialConfiguration() {
  Configuration out;
  out.preset = "ordinary";
  out.presets.emplace_back();
  out.presets.back().name = out.preset;
  out.domains.push_back(DomainId{1});
  return out;
}

leaf::result<Configuration> Apply(const Configuration& before,
                                  const Change& change, WallTime now) {
  if (change.operations.empty() || change.operations.size() > kMaxOperations) {
    return MakeError(ErrorKind::kOutOfRange,
                     "operations: " + std::to_string(change.operations.size()) +
                         " elements are outside 1 to " +
                         std::to_string(kMaxOperations));
  }
  ApplyState state{before, now, ""};
  state.configuration.version = ConfigVersion{Value(before.version) + 1};
  for (std::size_t i = 0; i < change.operations.size(); ++i) {
    state.path = "operations[" + std::to_string(i) + "]";
    BOOST_LEAF_CHECK(std::visit(
        [&](const auto& operation) { return ApplyOperation(state, operation); },
        change.operations[i]));
  }
  RecordFormerLoadShare(before, state);
  DeleteExpiredTargets(state);
  state.configuration.recent_changes.push_back(
      ChangeRecord{change.id, state.configuration.version, change.author,
                   Summarize(change), TouchedPaths(change), now});
  TrimRecentChanges(state.configuration.recent_changes);
  return std::move(state.configuration);
}

std::string Summarize(const Change& change) {
  std::string out;
  for (const Operation& operation : change.operations) {
    if (!out.empty()) out += "; ";
    out += Name(operation);
    out += ' ';
    out += std::visit([](const auto& op) { return Subject(op); }, operation);
  }
  if (out.size() > kMaxSummaryBytes) {
    out.resize(kMaxSummaryBytes - kEllipsis.size());
    out += kEllipsis;
  }
  return out;
}

void TrimRecentChanges(std::vector<ChangeRecord>& records) {
  std::size_t touched = 0;
  std::size_t kept = 0;
  while (kept < records.size() && kept < kMaxRecentChanges) {
    touched += records[records.size() - 1 - kept].touched.size();
    if (touched > kMaxRecentTouched && kept > 0) break;
    ++kept;
  }
  records.erase(records.begin(),
                records.end() - static_cast<std::ptrdiff_t>(kept));
}

}  // namespace sapphirestream
