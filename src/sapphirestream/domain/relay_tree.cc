#include "sapphirestream/domain/relay_tree.h"

#include <algorithm>
#include <functional>
#include <map>
#include <utility>

namespace sapphirestream {
namespace {

constexpr std::size_t kFanOut = 8;
constexpr std::size_t kReaders = 2;
// Rank key of the configuration; must differ from the rank keys of services.
constexpr std::uint64_t kConfigurationKey = 0x636f6e6669670000ULL;

}  // namespace

RelayTree MakeRelayTree(const MemberView& view, InstanceId self,
                        DomainId domain) {
  RelayTree tree;
  std::vector<std::pair<std::uint64_t, InstanceId>> ranked;
  std::map<DomainId, std::pair<std::uint64_t, InstanceId>> roots;
  for (const Member& member : view.members()) {
    if (!MemberView::IsEligible(member)) continue;
    const std::pair rank{RankWeight(kConfigurationKey, member.id), member.id};
    if (member.domain == domain) {
      ranked.push_back(rank);
    } else {
      auto& best = roots[member.domain];
      best = std::max(best, rank);
    }
  }
  std::sort(ranked.begin(), ranked.end(), std::greater<>());
  for (const auto& [other, root] : roots) {
    tree.other_domains.push_back(other);
    tree.other_roots.push_back(root.second);
  }
  tree.live = ranked.size();
  const auto own =
      std::find_if(ranked.begin(), ranked.end(),
                   [self](const auto& rank) { return rank.second == self; });
  if (own == ranked.end()) return tree;
  const auto index = static_cast<std::size_t>(own - ranked.begin());
  tree.is_root = index == 0;
  tree.is_reader = index < kReaders;
  if (index > 0) tree.parent = ranked[(index - 1) / kFanOut].second;
  for (std::size_t i = index * kFanOut + 1; i <= (index + 1) * kFanOut; ++i) {
    if (i < ranked.size()) tree.children.push_back(ranked[i].second);
  }
  return tree;
}

}  // namespace sapphirestream
