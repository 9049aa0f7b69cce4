// Guards against two instances that both consider themselves the owner of a
// flow.
#include "sapphirestream/flow/ownership.h"

#include <boost/test/unit_test.hpp>
#include <set>

#include "testing/flow_fixture.h"

namespace sapphirestream {
namespace {

using fleet::kBoard;
using fleet::kDatagramOrders;
using testing::MakeFirstPacket;
using testing::MakeMembers;
using testing::MakeSnapshot;

Owners OwnersFor(const Snapshot& snapshot, const Packet& packet) {
  return OwnersOf(snapshot, snapshot.services.at(packet.key.service),
                  packet.key, packet.hash);
}

std::vector<Member> WithoutDomain(std::vector<Member> members, DomainId gone) {
  for (Member& member : members) {
    if (member.domain == gone) member.state = MemberState::kDead;
  }
  return members;
}

BOOST_AUTO_TEST_SUITE(ownership)

BOOST_AUTO_TEST_CASE(every_instance_names_the_same_owner_and_replica) {
  const auto members = MakeMembers(8, 4);
  const Configuration site = fleet::MakeSite({});
  const auto first = MakeSnapshot(InstanceId{1}, site, site, members);
  const auto last = MakeSnapshot(InstanceId{8}, site, site, members);
  std::set<InstanceId> owners;
  for (std::uint32_t n = 0; n < 200; ++n) {
    const Packet packet = MakeFirstPacket(kBoard, n);
    const Owners mine = OwnersFor(*first, packet);
    BOOST_TEST((mine == OwnersFor(*last, packet)));
    BOOST_TEST((first->members.Find(mine.owner)->domain !=
                first->members.Find(mine.replica)->domain));
    owners.insert(mine.owner);
  }
  // One scheduler in each of the four domains.
  BOOST_TEST(owners.size() == 4U);
}

// The replica of a failed domain becomes the owner, so it already has the
// records.
BOOST_AUTO_TEST_CASE(the_replica_becomes_owner_when_the_home_domain_is_gone) {
  const auto members = MakeMembers(8, 4);
  const Configuration site = fleet::MakeSite({});
  const auto whole = MakeSnapshot(InstanceId{1}, site, site, members);
  for (std::uint32_t n = 0; n < 50; ++n) {
    const Packet packet = MakeFirstPacket(kBoard, n);
    const Owners before = OwnersFor(*whole, packet);
    const auto rest = WithoutDomain(members, before.home);
    const InstanceId self = before.replica;
    const auto after = MakeSnapshot(self, site, site, rest, members);
    BOOST_TEST((OwnersFor(*after, packet).owner == before.replica));
  }
}

BOOST_AUTO_TEST_CASE(datagrams_that_run_requests_keep_their_home_domain) {
  const auto members = MakeMembers(8, 4);
  const Configuration site = fleet::MakeSite({});
  const Packet packet = MakeFirstPacket(kDatagramOrders, 3, Protocol::kUdp);
  const auto whole = MakeSnapshot(InstanceId{1}, site, site, members);
  const Owners before = OwnersFor(*whole, packet);
  const auto rest = WithoutDomain(members, before.home);
  const auto after = MakeSnapshot(before.replica, site, site, rest, members);
  BOOST_TEST((OwnersFor(*after, packet).owner == kNoInstance));
  BOOST_TEST((OwnersFor(*after, packet).home == before.home));
}

BOOST_AUTO_TEST_CASE(a_single_domain_keeps_copies_at_another_instance) {
  const auto members = MakeMembers(3, 1);
  fleet::SiteOptions options;
  options.domains = 1;
  const Configuration site = fleet::MakeSite(options);
  const auto snapshot = MakeSnapshot(InstanceId{1}, site, site, members);
  const Owners owners = OwnersFor(*snapshot, MakeFirstPacket(kBoard, 1));
  BOOST_TEST((owners.replica != kNoInstance));
  BOOST_TEST((owners.replica != owners.owner));
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace sapphirestream
