// Paths have the forms service/<name>[/target/<tunnel>|/announcement/<name>],
// preset/<name>, preset_in_force, announcement/<name> and domains.
#include "sapphirestream/contract/touched.h"

#include <algorithm>
#include <string_view>

namespace sapphirestream {
namespace {

using Paths = std::vector<std::string>;

std::string ServicePath(const std::string& service) {
  return "service/" + service;
}

std::string TargetPath(const std::string& service, const Endpoint& tunnel) {
  return ServicePath(service) + "/target/" + ToString(tunnel);
}

void Collect(const CreateService& op, Paths& out) {
  out.push_back(ServicePath(op.name));
}
void Collect(const DeleteService& op, Paths& out) {
  out.push_back(ServicePath(op.service));
}
void Collect(const AddTarget& op, Paths& out) {
  out.push_back(TargetPath(op.service, op.tunnel));
}
void Collect(const DrainTarget& op, Paths& out) {
  out.push_back(TargetPath(op.service, op.tunnel));
}
void Collect(const RemoveTarget& op, Paths& out) {
  out.push_back(TargetPath(op.service, op.tunnel));
}
void Collect(const PutPreset& op, Paths& out) {
  out.push_back("preset/" + op.preset.name);
}
void Collect(const DeletePreset& op, Paths& out) {
  out.push_back("preset/" + op.preset);
}
// A switch depends on the content of the preset, so it also touches the preset.
void Collect(const SwitchPreset& op, Paths& out) {
  out.push_back("preset/" + op.preset);
  out.emplace_back("preset_in_force");
}
// The path below the service includes the name of the announcement, since
// announcements of one service are independent of each other.
void Collect(const PutAnnouncement& op, Paths& out) {
  out.push_back("announcement/" + op.name);
  out.push_back(ServicePath(op.service) + "/announcement/" + op.name);
}
void Collect(const DeleteAnnouncement& op, Paths& out) {
  out.push_back("announcement/" + op.announcement);
}
void Collect(const SetDomains& /*op*/, Paths& out) {
  out.emplace_back("domains");
}

bool IsAncestorOrEqual(std::string_view ancestor, std::string_view path) {
  return path.starts_with(ancestor) &&
         (path.size() == ancestor.size() || path[ancestor.size()] == '/');
}

}  // namespace

std::vector<std::string> TouchedPaths(const Change& change) {
  Paths out;
  for (const Operation& operation : change.operations) {
    std::visit([&](const auto& op) { Collect(op, out); }, operation);
  }
  std::sort(out.begin(), out.end());
  out.erase(std::unique(out.begin(), out.end()), out.end());
  return out;
}

bool PathsConflict(const std::vector<std::string>& a,
                   const std::vector<std::string>& b) {
  return std::any_of(a.begin(), a.end(), [&](const std::string& left) {
    return std::any_of(b.begin(), b.end(), [&](const std::string& right) {
      return IsAncestorOrEqual(left, right) || IsAncestorOrEqual(right, left);
    });
  });
}

ConflictResult CheckConflict(const Change& change, ConfigVersion base,
                             const Configuration& head) {
  if (head.version <= base) return {};
  const auto& records = head.recent_changes;
  if (records.empty() || Value(records.front().version) > Value(base) + 1) {
    return {ConflictStatus::kHistoryTrimmed, head.version};
  }
  const Paths touched = TouchedPaths(change);
  // The newest conflicting change is the one that is in effect.
  for (auto it = records.rbegin(); it != records.rend(); ++it) {
    if (it->version <= base) break;
    if (PathsConflict(touched, it->touched)) {
      return {ConflictStatus::kConflict, it->version};
    }
  }
  return {};
}

}  // namespace sapphirestream
