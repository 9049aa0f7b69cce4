// Guards against a new owner that decides before it knows the decisions of its
// predecessor.
#include "sapphirestream/flow/recovery.h"

#include <boost/test/unit_test.hpp>

#include "testing/flow_fixture.h"

namespace sapphirestream {
namespace {

using fleet::kOrders;
using testing::kStart;
using testing::MakeMembers;
using testing::MakeSnapshot;

struct Fixture {
  Fixture() : recovery(sink) {
    site.services.erase(site.services.begin());
    site.services.resize(1);
  }
  void ReceivePage(InstanceId from, std::uint64_t next) {
    RecordPage page;
    page.service = kOrders;
    page.domain = DomainId{1};
    page.next_cursor = next;
    recovery.OnPage(from, page, now);
  }

  Configuration site = fleet::MakeSite({});
  testing::RecordingSink sink;
  Recovery recovery;
  TimePoint now = kStart;
};

BOOST_FIXTURE_TEST_SUITE(recovery, Fixture)

BOOST_AUTO_TEST_CASE(decides_after_the_last_page_of_every_source) {
  const auto snapshot =
      MakeSnapshot(InstanceId{1}, site, site, MakeMembers(3, 3));
  recovery.OnSnapshot(*snapshot, now);
  BOOST_TEST(sink.sent.size() == 2U);
  ReceivePage(InstanceId{2}, 0);
  ReceivePage(InstanceId{3}, 24);
  BOOST_TEST((recovery.StateOf(kOrders) == OwnershipState::kRecovering));
  BOOST_TEST(sink.Last<RecordPull>()->cursor == 24U);
  BOOST_TEST(!recovery.MayRunRequests(kOrders, now));
  ReceivePage(InstanceId{3}, 0);
  BOOST_TEST((recovery.StateOf(kOrders) == OwnershipState::kDeciding));
  BOOST_TEST(recovery.MayRunRequests(kOrders, now));
}

BOOST_AUTO_TEST_CASE(a_lost_pull_is_repeated) {
  const auto snapshot =
      MakeSnapshot(InstanceId{1}, site, site, MakeMembers(2, 2));
  recovery.OnSnapshot(*snapshot, now);
  recovery.OnTimer(now + std::chrono::milliseconds(200));
  BOOST_TEST(sink.sent.size() == 2U);
}

BOOST_AUTO_TEST_CASE(
    recovery_without_sources_waits_for_the_first_packet_lifetime) {
  const auto snapshot =
      MakeSnapshot(InstanceId{1}, site, site, MakeMembers(1, 1));
  recovery.OnSnapshot(*snapshot, now);
  BOOST_TEST((recovery.StateOf(kOrders) == OwnershipState::kDeciding));
  BOOST_TEST(!recovery.MayRunRequests(kOrders, now));
  BOOST_TEST(recovery.MayRunRequests(kOrders, now + kFirstPacketLifetime));
}

// The dead instance may have had the only copy of a decision.
BOOST_AUTO_TEST_CASE(a_recent_replica_death_delays_decisions) {
  auto members = MakeMembers(3, 3);
  members[0].state = MemberState::kJoining;
  recovery.OnSnapshot(*MakeSnapshot(InstanceId{1}, site, site, members), now);
  members[0].state = MemberState::kAlive;
  members[2].state = MemberState::kDead;
  recovery.OnSnapshot(*MakeSnapshot(InstanceId{1}, site, site, members), now);
  ReceivePage(InstanceId{2}, 0);
  BOOST_TEST((recovery.StateOf(kOrders) == OwnershipState::kDeciding));
  BOOST_TEST(!recovery.MayRunRequests(kOrders, now));
  BOOST_TEST(recovery.MayRunRequests(kOrders, now + kFirstPacketLifetime));
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace sapphirestream
