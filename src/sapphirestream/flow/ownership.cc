// Rendezvous ranks of domains per flow and of instances per service.
#include "sapphirestream/flow/ownership.h"

#include <cstddef>
#include <vector>

namespace sapphirestream {
namespace {

std::vector<DomainSchedulers> SchedulersOf(const Snapshot& snapshot,
                                           const MemberView& members,
                                           ServiceId service) {
  std::vector<DomainSchedulers> out;
  out.reserve(snapshot.domains.size());
  for (const DomainId domain : snapshot.domains) {
    DomainSchedulers schedulers;
    schedulers.first = FirstInstance(members, domain, Value(service));
    if (schedulers.first != kNoInstance) {
      schedulers.second =
          FirstInstance(members, domain, Value(service), schedulers.first);
    }
    out.push_back(schedulers);
  }
  return out;
}

// Position of the best-ranked domain below `limit` in rank, skipping domains
// without an eligible instance if `eligible_only`; `size` if there is none.
std::size_t NextDomain(const Snapshot& snapshot,
                       const std::vector<DomainSchedulers>& schedulers,
                       std::uint64_t key, std::uint64_t limit,
                       bool eligible_only, std::uint64_t& weight) noexcept {
  std::size_t best = schedulers.size();
  for (std::size_t i = 0; i < schedulers.size(); ++i) {
    if (eligible_only && schedulers[i].first == kNoInstance) continue;
    const std::uint64_t candidate = RankWeight(key, snapshot.domains[i]);
    if (candidate >= limit) continue;
    if (best == schedulers.size() || candidate > weight) {
      best = i;
      weight = candidate;
    }
  }
  return best;
}

}  // namespace

void AssignSchedulers(Snapshot& snapshot) {
  for (auto& [id, view] : snapshot.services) {
    view.schedulers = SchedulersOf(snapshot, snapshot.members, id);
    view.previous_schedulers =
        SchedulersOf(snapshot, snapshot.previous_members, id);
  }
}

Owners OwnersOf(const Snapshot& snapshot, const ServiceView& view,
                const FlowKey& key, std::uint64_t hash, ViewAge age) noexcept {
  const auto& schedulers =
      age == ViewAge::kPresent ? view.schedulers : view.previous_schedulers;
  // The low bits don't take part in the choice of the bucket.
  const std::uint64_t rank_key =
      HashPair(hash & 0xffffffffU, Value(view.service.id));
  const bool may_move = !RunsOnFirstPacket(view, key);
  Owners owners;
  std::uint64_t weight = 0;
  const std::size_t home =
      NextDomain(snapshot, schedulers, rank_key, ~0ULL, may_move, weight);
  if (home == schedulers.size()) return owners;
  owners.home = snapshot.domains[home];
  owners.owner = schedulers[home].first;
  std::uint64_t replica_weight = 0;
  const std::size_t other =
      NextDomain(snapshot, schedulers, rank_key, weight, true, replica_weight);
  if (other != schedulers.size()) {
    owners.replica = schedulers[other].first;
    return owners;
  }
  // The home domain may rank last among the eligible ones.
  std::uint64_t any_weight = 0;
  const std::size_t any =
      NextDomain(snapshot, schedulers, rank_key, ~0ULL, true, any_weight);
  if (any != schedulers.size() && any != home) {
    owners.replica = schedulers[any].first;
  } else {
    owners.replica = schedulers[home].second;
  }
  return owners;
}

InstanceId SchedulerNear(const Snapshot& snapshot, const ServiceView& view,
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
