// Rendezvous hashing of flows to domains and of services to instances.
#include "sapphirestream/flow/ownership.h"

#include <cstddef>
#include <utility>
#include <vector>

namespace sapphirestream {
namespace {

// Returns the members with those that are joining as alive; empty if none is
// joining.
MemberView AfterJoining(const MemberView& members) {
  std::vector<Member> joined(members.members().begin(),
                             members.members().end());
  bool is_any_joining = false;
  for (Member& member : joined) {
    if (member.state != MemberState::kJoining) continue;
    member.state = MemberState::kAlive;
    is_any_joining = true;
  }
  return is_any_joining ? MemberView(std::move(joined)) : MemberView();
}

std::vector<DomainSchedulers> SchedulersOf(const Snapshot& snapshot,
                                           const MemberView& members,
                                           ServiceId service) {
  std::vector<DomainSchedulers> out;
  out.reserve(snapshot.domains.size());
  for (const DomainId domain : snapshot.domains) {
    DomainSchedulers schedulers;
    schedulers.first = HighestRankedInstance(members, domain, Value(service));
    if (schedulers.first != kNoInstance) {
      schedulers.second = HighestRankedInstance(members, domain, Value(service),
                                                schedulers.first);
    }
    out.push_back(schedulers);
  }
  return out;
}

// Returns the position of the highest-ranked domain except `except`, or
// `schedulers.size()` if there is none.
std::size_t BestDomain(const Snapshot& snapshot,
                       const std::vector<DomainSchedulers>& schedulers,
                       std::uint64_t key, bool eligible_only,
                       std::size_t except) noexcept {
  std::size_t best = schedulers.size();
  std::uint64_t best_weight = 0;
  for (std::size_t i = 0; i < schedulers.size(); ++i) {
    if (i == except) continue;
    if (eligible_only && schedulers[i].first == kNoInstance) continue;
    const std::uint64_t weight = RankWeight(key, snapshot.domains[i]);
    if (best == schedulers.size() || weight > best_weight) {
      best = i;
      best_weight = weight;
    }
  }
  return best;
}

const std::vector<DomainSchedulers>& SchedulersIn(
    const ServiceView& view, MemberViewKind kind) noexcept {
  switch (kind) {
    case MemberViewKind::kCurrent:
      break;
    case MemberViewKind::kPrevious:
      return view.previous_schedulers;
    case MemberViewKind::kAfterJoining:
      return view.schedulers_after_joining;
  }
  return view.schedulers;
}

}  // namespace

void AssignSchedulers(Snapshot& snapshot) {
  const MemberView after_joining = AfterJoining(snapshot.members);
  for (auto& [id, view] : snapshot.services) {
    view.schedulers = SchedulersOf(snapshot, snapshot.members, id);
    view.previous_schedulers =
        SchedulersOf(snapshot, snapshot.previous_members, id);
    view.schedulers_after_joining.clear();
    if (after_joining.members().empty()) continue;
    view.schedulers_after_joining = SchedulersOf(snapshot, after_joining, id);
  }
}

Owners OwnersOf(const Snapshot& snapshot, const ServiceView& view,
                const FlowKey& key, std::uint64_t hash,
                MemberViewKind kind) noexcept {
  const std::vector<DomainSchedulers>& schedulers = SchedulersIn(view, kind);
  const std::size_t none = schedulers.size();
  // The low bits of the hash are independent of the bucket.
  const std::uint64_t flow_key =
      HashPair(hash & 0xffffffffU, Value(view.service.id));
  const std::size_t first =
      BestDomain(snapshot, schedulers, flow_key, false, none);
  Owners owners;
  if (first == none) return owners;
  // All records of one home domain are replicated to the same other domain, so
  // that their copies fill datagrams.
  const std::uint64_t other_key =
      HashPair(Value(view.service.id), 1U + Value(snapshot.domains[first]));
  const bool may_move = !RunsOnFirstPacket(view, key);
  std::size_t home = first;
  if (may_move && schedulers[first].first == kNoInstance) {
    home = BestDomain(snapshot, schedulers, other_key, true, first);
    if (home == none) return owners;
  }
  owners.home = snapshot.domains[home];
  owners.owner = schedulers[home].first;
  const std::size_t other =
      BestDomain(snapshot, schedulers, other_key, true, home);
  owners.replica =
      other != none ? schedulers[other].first : schedulers[home].second;
  return owners;
}

InstanceId SchedulerInDomainOf(const Snapshot& snapshot,
                               const ServiceView& view,
                               TargetId target) noexcept {
  const auto it = view.targets.find(target);
  if (it == view.targets.end()) return kNoInstance;
  for (std::size_t i = 0; i < view.schedulers.size(); ++i) {
    if (snapshot.domains[i] == it->second.domain) {
      return view.schedulers[i].first;
    }
  }
  return kNoInstance;
}

}  // namespace sapphirestream
