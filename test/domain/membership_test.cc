// Guards against live members seen as dead, dead members seen as alive, and
// views that do not converge after a fault.
#include "sapphirestream/domain/membership.h"

#include <boost/test/unit_test.hpp>

#include "testing/domain_cluster.h"

namespace sapphirestream {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;
using testing::DomainCluster;

// Starts ids 1 to `domains` * `size`, numbered domain by domain.
void StartDomains(DomainCluster& cluster, std::uint32_t domains,
                  std::uint32_t size) {
  for (std::uint32_t i = 0; i < domains * size; ++i) {
    cluster.Start(i + 1, static_cast<std::uint16_t>(i / size + 1));
  }
}

bool AllSeeAllAlive(DomainCluster& cluster) {
  for (const auto& [observer, node] : cluster.nodes()) {
    for (const auto& [subject, other] : cluster.nodes()) {
      if (cluster.StateAt(Value(observer), Value(subject)) !=
          MemberState::kAlive) {
        return false;
      }
    }
  }
  return true;
}

BOOST_AUTO_TEST_SUITE(membership)

BOOST_AUTO_TEST_CASE(message_loss_alone_marks_no_member_dead) {
  DomainCluster cluster({.seed = 11, .loss = 0.1});
  StartDomains(cluster, 3, 3);
  cluster.Run(seconds(5));
  int deaths = 0;
  cluster.Run(seconds(300), [&] {
    for (const auto& [observer, node] : cluster.nodes()) {
      for (const Member& member : node->membership.view().members()) {
        if (!MemberView::IsEligible(member)) ++deaths;
      }
    }
  });
  BOOST_TEST(deaths == 0);
}

// Gossiped suspicions doubled the control traffic at 2% message loss; 10% shows
// the effect sooner.
BOOST_AUTO_TEST_CASE(
    message_loss_does_not_fill_heartbeats_with_member_updates) {
  DomainCluster cluster({.seed = 19, .loss = 0.1});
  StartDomains(cluster, 1, 9);
  cluster.Run(seconds(15));
  double heartbeats = 0;
  double updates = 0;
  cluster.on_send = [&](const DomainCluster::Node&, InstanceId,
                        const DomainMessage& message) {
    if (const auto* heartbeat = std::get_if<Heartbeat>(&message)) {
      ++heartbeats;
      updates += static_cast<double>(heartbeat->members.size());
    }
  };
  cluster.Run(seconds(60));
  BOOST_TEST(updates < 1.2 * heartbeats);
  // Each heartbeat carries one member in turn, in case an update was missed.
  BOOST_TEST(updates > 0.9 * heartbeats);
}

BOOST_AUTO_TEST_CASE(death_is_seen_everywhere_but_not_before_3_s) {
  DomainCluster cluster({.seed = 12, .loss = 0.02});
  StartDomains(cluster, 3, 3);
  cluster.Run(seconds(6));
  BOOST_TEST(AllSeeAllAlive(cluster));
  cluster.Kill(2);
  cluster.Run(milliseconds(2'700));
  BOOST_TEST((cluster.StateAt(1, 2) == MemberState::kSuspect));
  cluster.Run(milliseconds(3'000));
  for (const auto& [observer, node] : cluster.nodes()) {
    BOOST_TEST((cluster.StateAt(Value(observer), 2) == MemberState::kDead));
  }
}

BOOST_AUTO_TEST_CASE(paused_and_isolated_members_rejoin) {
  DomainCluster cluster({.seed = 13});
  StartDomains(cluster, 2, 3);
  cluster.Run(seconds(6));
  cluster.Pause(2);
  cluster.Run(seconds(10));
  BOOST_TEST((cluster.StateAt(1, 2) == MemberState::kDead));
  cluster.Resume(2);
  cluster.Run(seconds(6));
  BOOST_TEST(AllSeeAllAlive(cluster));
  cluster.IsolateInstance(2);
  cluster.Run(seconds(10));
  BOOST_TEST((cluster.StateAt(4, 2) == MemberState::kDead));
  BOOST_TEST((cluster.StateAt(2, 1) == MemberState::kDead));
  cluster.Heal();
  cluster.Run(seconds(8));
  BOOST_TEST(AllSeeAllAlive(cluster));
}

BOOST_AUTO_TEST_CASE(partition_between_domains_is_detected_and_heals) {
  DomainCluster cluster({.seed = 14, .loss = 0.02});
  StartDomains(cluster, 3, 3);
  cluster.Run(seconds(6));
  cluster.IsolateDomain(1);
  cluster.Run(milliseconds(2'500));
  BOOST_TEST((cluster.StateAt(1, 4) == MemberState::kSuspect));
  cluster.Run(seconds(3));
  for (std::uint32_t id = 4; id <= 9; ++id) {
    BOOST_TEST((cluster.StateAt(1, id) == MemberState::kDead));
    BOOST_TEST((cluster.StateAt(id, 3) == MemberState::kDead));
  }
  BOOST_TEST((cluster.StateAt(1, 2) == MemberState::kAlive));
  cluster.Heal();
  cluster.Run(seconds(12));
  BOOST_TEST(AllSeeAllAlive(cluster));
}

BOOST_AUTO_TEST_CASE(instance_list_does_not_revive_dead_members) {
  DomainCluster cluster({.seed = 15});
  StartDomains(cluster, 1, 3);
  cluster.Kill(3);
  cluster.Run(seconds(8));
  cluster.DeliverInstanceList();
  cluster.Run(seconds(2));
  BOOST_TEST((cluster.StateAt(1, 3) == MemberState::kDead));
  BOOST_TEST((cluster.StateAt(1, 2) == MemberState::kAlive));
}

BOOST_AUTO_TEST_CASE(unlisted_members_are_learned_from_others) {
  DomainCluster cluster({.seed = 16});
  StartDomains(cluster, 2, 3);
  cluster.Run(seconds(6));
  // The list delivered at the start of instance 7 contains neither 2, 3 nor 5.
  for (const std::uint32_t id : {2, 3, 5}) cluster.Delist(id);
  cluster.Start(7, 1);
  cluster.Run(seconds(8));
  BOOST_TEST(AllSeeAllAlive(cluster));
}

BOOST_AUTO_TEST_CASE(leaving_is_seen_at_once_and_ends_as_left) {
  DomainCluster cluster({.seed = 17});
  StartDomains(cluster, 2, 3);
  cluster.Run(seconds(6));
  cluster.at(2).membership.BeginLeave(cluster.now());
  cluster.Run(milliseconds(40));
  BOOST_TEST((cluster.StateAt(1, 2) == MemberState::kLeaving));
  cluster.Run(seconds(2));
  BOOST_TEST((cluster.StateAt(4, 2) == MemberState::kLeaving));
  cluster.Kill(2);
  cluster.Run(seconds(6));
  BOOST_TEST((cluster.StateAt(1, 2) == MemberState::kLeft));
}

BOOST_AUTO_TEST_CASE(large_domain_detects_death_with_few_heartbeats) {
  DomainCluster cluster({.seed = 18, .loss = 0.02});
  StartDomains(cluster, 1, 60);
  cluster.Run(seconds(15));
  BOOST_TEST(AllSeeAllAlive(cluster));
  std::map<InstanceId, int> sent;
  cluster.on_send = [&sent](const DomainCluster::Node& from, InstanceId,
                            const DomainMessage&) { ++sent[from.id]; };
  cluster.Run(seconds(10));
  for (const auto& [id, count] : sent) BOOST_TEST(count < 300);
  cluster.Kill(30);
  cluster.Run(seconds(10));
  for (const auto& [observer, node] : cluster.nodes()) {
    BOOST_TEST((cluster.StateAt(Value(observer), 30) == MemberState::kDead));
  }
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace sapphirestream
