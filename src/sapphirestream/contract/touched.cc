// Paths: service/<name>[/target/<tunnel>|/announcement], preset/<name>,
// preset_in_force, announcement/<name>, domains.
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
// A switch depends on what the preset contains, so it touches that too.
void Collect(const SwitchPreset& op, Paths& out) {
  out.push_back("preset/" + op.preset);
  out.emplace_back("preset_in_force");
}
// Announcements of one service are independent of each other, so the path below
// the service carries the announcement's name.
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

bool IsAboveOrEqual(std::string_view above, std::string_view path) {
  return path.starts_with(above) &&
         (path.size() == above.size() || path[above.size()] == '/');
}

}  // namespace

std::vector<std::string> TouchedBy(const Change& change) {
  Paths out;
  for (const Operation& operation : change.operations) {
    std::visit([&](const auto& op) { Collect(op, out); }, operation);
  }
  std::sort(out.begin(), out.end());
  out.erase(std::unique(out.begin(), out.end()), out.end());
  return out;
}

bool Contradict(const std::vector<std::string>& a,
                const std::vector<std::string>& b) {
  return std::any_of(a.begin(), a.end(), [&](const std::string& left) {
    return std::any_of(b.begin(), b.end(), [&](const std::string& right) {
      return IsAboveOrEqual(left, right) || IsAboveOrEqual(right, left);
    });
  });
}

RaceOutcome JudgeRace(const Change& change, ConfigVersion base,
                      const Configuration& head) {
  if (head.version <= base) return {};
  const auto& records = head.recent_changes;
  if (records.empty() || Value(records.front().version) > Value(base) + 1) {
    return {RaceVerdict::kForgotten, head.version};
  }
  const Paths touched = TouchedBy(change);
  // The newest contradicting change is the one whose effect is in force.
  for (auto it = records.rbegin(); it != records.rend(); ++it) {
    if (it->version <= base) break;
    if (Contradict(touched, it->touched)) {
      return {RaceVerdict::kContradicted, it->version};
    }
  }
  return {};
}

}  // namespace sapphirestream
