// Publication of snapshots.
#include "sapphirestream/instance/snapshot_publisher.h"

#include <algorithm>
#include <utility>

namespace sapphirestream {
namespace {

std::vector<InstanceId> EligibleIds(const MemberView& view) {
  std::vector<InstanceId> ids;
  for (const Member& member : view.members()) {
    if (MemberView::IsEligible(member)) ids.push_back(member.id);
  }
  return ids;
}

bool SameVersions(const std::vector<ServiceVersion>& a,
                  const std::vector<ServiceVersion>& b) {
  return std::equal(a.begin(), a.end(), b.begin(), b.end(),
                    [](const ServiceVersion& x, const ServiceVersion& y) {
                      return x.version == y.version && x.recorded == y.recorded;
                    });
}

// Whether two snapshots of the same configuration and members differ in the
// parts that depend on the wall clock.
bool DiffersByTime(const Snapshot& a, const Snapshot& b) {
  return std::any_of(
      a.services.begin(), a.services.end(), [&](const auto& entry) {
        const auto& [id, view] = entry;
        const auto it = b.services.find(id);
        return it == b.services.end() ||
               it->second.slowdown_announced != view.slowdown_announced ||
               !SameVersions(it->second.retained, view.retained);
      });
}

}  // namespace

SnapshotPublisher::SnapshotPublisher(const Options& options,
                                     PublishedState& state,
                                     FlowDispatcher& dispatcher,
                                     CounterSet& counters)
    : options_(options),
      state_(state),
      dispatcher_(dispatcher),
      builder_(options.idle_timeout),
      published_(counters.Emplace("snapshots_published_total")),
      unconfirmed_(counters.Emplace("contact_lost")) {}

void SnapshotPublisher::OnMembers(const MemberView& members) {
  // The previous view must identify the former owners, so it is replaced only
  // if owners may have changed.
  if (EligibleIds(members) != EligibleIds(members_)) {
    previous_members_ = members_;
  }
  members_ = members;
  is_due_ = true;
}

void SnapshotPublisher::SetPeers(Addresses peers) {
  if (peers == peers_) return;
  peers_ = std::move(peers);
  is_due_ = true;
}

void SnapshotPublisher::SetConfirmed(bool confirmed) noexcept {
  if (confirmed != confirmed_) is_due_ = true;
  confirmed_ = confirmed;
  unconfirmed_.Set(confirmed ? 0 : 1);
}

void SnapshotPublisher::Update(
    const std::shared_ptr<const Configuration>& active,
    const std::shared_ptr<const Configuration>& newest,
    TimePoint authority_until, TimePoint now, WallTime wall_now) {
  const bool must_refresh = now >= next_refresh_;
  if (active == nullptr || (!is_due_ && !must_refresh)) return;
  next_refresh_ = now + kRefreshInterval;
  const auto snapshot = builder_.Build({.self = options_.self,
                                        .own_domain = options_.own_domain,
                                        .active = active,
                                        .newest = newest,
                                        .members = members_,
                                        .previous_members = previous_members_,
                                        .confirmed = confirmed_,
                                        .authority_until = authority_until,
                                        .now = wall_now});
  // Avoids an unchanged snapshot, since Steering scans all records after each
  // new one.
  if (!is_due_ && current_ != nullptr &&
      !DiffersByTime(*snapshot, current_->snapshot)) {
    return;
  }
  is_due_ = false;
  auto state = std::make_shared<TrafficState>();
  state->snapshot = *snapshot;
  state->peers = peers_;
  current_ = state;
  state_.Set(state);
  dispatcher_.SetSnapshot(*snapshot, now);
  published_.Add();
}

}  // namespace sapphirestream
