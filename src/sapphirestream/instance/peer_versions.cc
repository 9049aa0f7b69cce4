// The configuration versions that other instances report.
#include "sapphirestream/instance/peer_versions.h"

#include <algorithm>

namespace sapphirestream {

void PeerVersions::OnHeartbeat(InstanceId from, const Heartbeat& heartbeat,
                               TimePoint now) {
  by_instance_[from] = {heartbeat.prepared, heartbeat.active, now};
}

void PeerVersions::OnView(const MemberView& view) {
  std::erase_if(by_instance_, [&](const auto& entry) {
    return view.Find(entry.first) == nullptr;
  });
}

ConfigVersion PeerVersions::PreparedByAll(const MemberView& view,
                                          InstanceId self,
                                          ConfigVersion own) const {
  ConfigVersion lowest = own;
  for (const Member& member : view.members()) {
    if (member.id == self || !MemberView::IsEligible(member)) continue;
    lowest = std::min(lowest, Of(member.id).prepared);
  }
  return lowest;
}

bool PeerVersions::IsConfirmed(const MemberView& view, InstanceId self,
                               ConfigVersion version, TimePoint now) const {
  bool has_peer = false;
  for (const Member& member : view.members()) {
    if (member.id == self || member.state == MemberState::kLeft) continue;
    has_peer = true;
    const Versions versions = Of(member.id);
    if (versions.prepared >= version && now - versions.heard < kContactLimit) {
      return true;
    }
  }
  return !has_peer;
}

PeerVersions::Versions PeerVersions::Of(InstanceId id) const {
  const auto it = by_instance_.find(id);
  return it == by_instance_.end() ? Versions{} : it->second;
}

}  // namespace sapphirestream
