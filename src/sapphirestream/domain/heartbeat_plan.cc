#include "sapphirestream/domain/heartbeat_plan.h"

#include <algorithm>

#include "sapphirestream/domain/timing.h"

namespace sapphirestream {
namespace {

constexpr Duration kMinInterval = std::chrono::milliseconds(200);
// Three heartbeats per kEchoLifetime, so that one lost heartbeat does not end
// the decision authority.
constexpr Duration kMaxInterval = std::chrono::milliseconds(500);
// Number of peers up to which the minimum interval is used; beyond it the
// interval grows in proportion. At 125 bytes a heartbeat, this is 2.5 KB/s.
constexpr std::size_t kPeersAtFullRate = 4;
// Number of ring neighbours on each side in a large domain.
constexpr std::size_t kRingNeighboursPerSide = 2;
// Limits the traffic of an instance that ranks first for many keys.
constexpr std::size_t kMaxSuccessors = 24;

void AddSuccessors(InstanceId self, DomainId domain, const MemberView& view,
                   std::span<const std::uint64_t> keys,
                   std::vector<InstanceId>& out) {
  for (const std::uint64_t key : keys) {
    if (HighestRankedInstance(view, domain, key) != self) continue;
    std::vector<std::pair<std::uint64_t, InstanceId>> ranked;
    for (const Member& member : view.members()) {
      if (member.domain != domain || member.id == self) continue;
      if (!MemberView::IsEligible(member)) continue;
      ranked.emplace_back(RankWeight(key, member.id), member.id);
    }
    const std::size_t count = std::min<std::size_t>(2, ranked.size());
    std::partial_sort(ranked.begin(),
                      ranked.begin() + static_cast<std::ptrdiff_t>(count),
                      ranked.end(), std::greater<>());
    for (std::size_t i = 0; i < count; ++i) {
      if (out.size() >= kMaxSuccessors) return;
      const InstanceId id = ranked[i].second;
      if (std::find(out.begin(), out.end(), id) == out.end()) {
        out.push_back(id);
      }
    }
  }
}

}  // namespace

HeartbeatPlan MakeHeartbeatPlan(InstanceId self, DomainId domain,
                                std::span<const InstanceId> present,
                                const MemberView& view,
                                std::span<const std::uint64_t> keys) {
  HeartbeatPlan plan;
  if (present.size() < kFullMeshLimit) {
    plan.neighbours.assign(present.begin(), present.end());
  } else {
    const std::size_t size = present.size();
    const auto after = static_cast<std::size_t>(
        std::lower_bound(present.begin(), present.end(), self) -
        present.begin());
    for (std::size_t i = 0; i < kRingNeighboursPerSide; ++i) {
      plan.neighbours.push_back(present[(after + i) % size]);
      plan.neighbours.push_back(present[(after + size - 1 - i) % size]);
    }
    AddSuccessors(self, domain, view, keys, plan.successors);
    std::erase_if(plan.successors, [&plan](InstanceId id) {
      return std::find(plan.neighbours.begin(), plan.neighbours.end(), id) !=
             plan.neighbours.end();
    });
  }
  plan.interval = std::clamp(
      kMinInterval * static_cast<std::int64_t>(plan.neighbours.size()) /
          static_cast<std::int64_t>(kPeersAtFullRate),
      kMinInterval, kMaxInterval);
  return plan;
}

}  // namespace sapphirestream
