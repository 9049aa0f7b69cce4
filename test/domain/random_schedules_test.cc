// Guards against two instances of a domain that decide first packets of the
// same service at the same time, in random schedules of faults.
#include <boost/test/unit_test.hpp>
#include <set>

#include "sapphirestream/domain/decision_authority.h"
#include "testing/domain_cluster.h"
#include "testing/single_decider_check.h"

namespace sapphirestream {
namespace {

using std::chrono::milliseconds;
using testing::DomainCluster;
using testing::IsDecider;
using testing::SingleDeciderCheck;

constexpr std::uint64_t kKey = 1;

// Runs 60 random faults on two domains of four.
void RunRandomSchedule(std::uint64_t seed) {
  DomainCluster cluster({.seed = seed, .loss = 0.1, .slow_share = 0.05});
  SingleDeciderCheck single_decider_check(cluster);
  SeededRandom random(seed);
  for (std::uint32_t id = 1; id <= 8; ++id) {
    cluster.Start(id, static_cast<std::uint16_t>((id - 1) / 4 + 1));
  }
  std::uint64_t incarnation = 1;
  std::set<InstanceId> isolated;
  cluster.DropMessages([&isolated](const auto& from, const auto& to) {
    return isolated.contains(from.id) || isolated.contains(to.id);
  });
  std::uint64_t decided = 0;
  for (int step = 0; step < 60; ++step) {
    const auto id = static_cast<std::uint32_t>(random.Below(8) + 1);
    switch (random.Below(6)) {
      case 0:
        cluster.Pause(id);
        break;
      case 1:
        isolated.insert(InstanceId{id});
        break;
      case 2:
        cluster.Replace(id, ++incarnation);
        break;
      case 3:
        cluster.Start(id, static_cast<std::uint16_t>((id - 1) / 4 + 1),
                      ++incarnation, random.Below(2) == 0);
        break;
      default:
        cluster.Resume(id);
        isolated.erase(InstanceId{id});
        break;
    }
    cluster.Run(milliseconds(200 + random.Below(4'000)), [&] {
      single_decider_check();
      for (const auto& [instance, node] : cluster.nodes()) {
        decided += IsDecider(*node, kKey, cluster.now()) ? 1 : 0;
      }
    });
  }
  BOOST_TEST_CONTEXT("seed " << seed) {
    BOOST_TEST(single_decider_check.violations == 0);
    // Without any decider the check above could not fail.
    BOOST_TEST(decided > 0);
  }
}

BOOST_AUTO_TEST_SUITE(decision_authority)

BOOST_AUTO_TEST_CASE(random_schedules_never_make_two_deciders) {
  for (std::uint64_t seed = 1; seed <= 40; ++seed) RunRandomSchedule(seed);
}

// In these schedules two processes with the same id, without other members in
// their domain, both decided: each was echoed by a different member of the
// other domain.
BOOST_AUTO_TEST_CASE(
    two_processes_of_one_id_without_neighbours_never_both_decide) {
  for (const std::uint64_t seed : {295, 351, 1056}) RunRandomSchedule(seed);
}

// In these schedules a member returned and decided on the echo of one member
// while another one decided (359), and the new process of a member echoed a
// replaced process while the old process of that member decided (741).
BOOST_AUTO_TEST_CASE(
    returned_and_replaced_processes_never_decide_beside_others) {
  for (const std::uint64_t seed : {359, 741}) RunRandomSchedule(seed);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace sapphirestream
