// Checks that no two simulated processes of a domain decide first packets of
// the same service at the same time.
#ifndef SAPPHIRESTREAM_TESTING_SINGLE_DECIDER_CHECK_H_
#define SAPPHIRESTREAM_TESTING_SINGLE_DECIDER_CHECK_H_

#include <cstdint>
#include <set>

#include "testing/domain_cluster.h"

namespace sapphirestream::testing {

inline constexpr std::uint64_t kRankKeys[] = {1, 2, 3, 4, 5, 6, 7, 8};

// Whether the process would decide a first packet of `key` now.
inline bool IsDecider(const DomainCluster::Node& node, std::uint64_t key,
                      TimePoint now) {
  const MemberView& view = node.membership.view();
  return HighestRankedInstance(view, node.domain, key) == node.id &&
         now < node.membership.AuthorityUntil(key);
}

// Counts how often a domain has two deciders for a key. A paused process counts
// too: it may have checked its authority just before the pause.
class SingleDeciderCheck {
 public:
  explicit SingleDeciderCheck(DomainCluster& cluster) : cluster_(cluster) {}
  void operator()() {
    for (const std::uint64_t key : kRankKeys) {
      std::set<DomainId> decided;
      const auto count = [&](const DomainCluster::Node& node) {
        if (!IsDecider(node, key, cluster_.now())) return;
        if (!decided.insert(node.domain).second) ++violations;
      };
      for (const auto& [id, node] : cluster_.nodes()) count(*node);
      for (const auto& process : cluster_.replaced_processes()) count(*process);
    }
  }
  int violations = 0;

 private:
  DomainCluster& cluster_;
};

}  // namespace sapphirestream::testing

#endif  // SAPPHIRESTREAM_TESTING_SINGLE_DECIDER_CHECK_H_
