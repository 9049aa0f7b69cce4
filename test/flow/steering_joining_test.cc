// Guards against a wrong target for flows that an instance has placed while
// others still consider it joining.
#include <boost/test/unit_test.hpp>

#include "sapphirestream/flow/ownership.h"
#include "testing/flow_fixture.h"

namespace sapphirestream {
namespace {

using fleet::kBoard;
using testing::kStart;
using testing::MakeDataPacket;
using testing::MakeFirstPacket;
using testing::MakeMembers;
using testing::MakeSnapshot;

constexpr InstanceId kJoiner{1};
constexpr InstanceId kOther{2};
constexpr std::uint8_t kHops = 3;

// One instance in each domain; `joining` are those that it considers joining.
struct Node {
  Node(InstanceId id, std::size_t domains,
       const std::vector<InstanceId>& joining)
      : self(id), steering({}, factory, sink, counters) {
    fleet::SiteOptions options;
    options.domains = domains;
    const Configuration site = fleet::MakeSite(options);
    auto members = MakeMembers(domains, domains);
    for (const InstanceId i : joining) {
      members[Value(i) - 1].state = MemberState::kJoining;
    }
    snapshot = MakeSnapshot(self, site, site, members);
    steering.SetSnapshot(snapshot, kStart);
  }
  Owners OwnersFor(const Packet& packet) const {
    return OwnersOf(*snapshot, snapshot->services.at(kBoard), packet.key,
                    packet.hash);
  }
  Verdict OnPacket(const Packet& packet, int ms = 0) {
    return steering.OnPacket(packet, false,
                             kStart + std::chrono::milliseconds(ms));
  }
  Verdict OnLookup(const Packet& packet, InstanceId asker, InstanceId from,
                   std::uint8_t hops) {
    return steering.OnRedirect(packet, false, asker, from, hops, kStart);
  }
  // Places flows and returns a later packet and the target of each one that is
  // off its hash target, so that no other instance can derive it.
  std::vector<std::pair<Packet, TargetId>> PlaceFlows() {
    std::vector<std::pair<Packet, TargetId>> placed;
    const ServiceView& view = snapshot->services.at(kBoard);
    for (std::uint32_t i = 0; i < 2'000; ++i) {
      const Packet packet = MakeFirstPacket(kBoard, i);
      if (OwnersFor(packet).owner != self) continue;
      const TargetId target = OnPacket(packet).target;
      if (target == view.active.table->At(packet.hash)) continue;
      placed.emplace_back(MakeDataPacket(packet), target);
    }
    BOOST_REQUIRE(!placed.empty());
    return placed;
  }

  InstanceId self;
  SchedulerFactory factory;
  testing::RecordingSink sink;
  CounterSet counters;
  std::shared_ptr<const Snapshot> snapshot;
  Steering steering;
};

BOOST_AUTO_TEST_SUITE(steering_joining)

// At a common start, each instance may also consider only itself alive and so
// decide about the flows of both domains.
BOOST_AUTO_TEST_CASE(the_joining_owner_is_asked_before_a_target_is_derived) {
  for (const auto& seen_as_joining : {std::vector<InstanceId>{}, {kOther}}) {
    Node joiner(kJoiner, 2, seen_as_joining);
    Node other(kOther, 2, {kJoiner});
    for (const auto& [data, target] : joiner.PlaceFlows()) {
      const Verdict asked = other.OnPacket(data);
      BOOST_REQUIRE((asked.kind == VerdictKind::kRedirect));
      const Verdict answer =
          joiner.OnLookup(data, kOther, kOther, asked.hop_limit);
      BOOST_TEST((answer.target == target));
    }
  }
}

// With a third domain, the temporary owner asks the replica first.
BOOST_AUTO_TEST_CASE(a_replica_without_a_record_asks_the_joining_owner) {
  Node joiner(kJoiner, 3, {});
  const Node other(kOther, 3, {kJoiner});
  for (const auto& [data, target] : joiner.PlaceFlows()) {
    const Owners seen = other.OwnersFor(data);
    Node replica(seen.replica, 3, {kJoiner});
    const Verdict asked =
        replica.OnLookup(data, seen.owner, seen.owner, kHops - 1);
    BOOST_REQUIRE((asked.kind == VerdictKind::kRedirect));
    BOOST_REQUIRE((asked.instance == kJoiner));
    const Verdict answer =
        joiner.OnLookup(data, seen.owner, seen.replica, asked.hop_limit);
    BOOST_TEST((answer.target == target));
  }
}

// An instance that never becomes ready may stay listed for long.
BOOST_AUTO_TEST_CASE(lookups_at_an_unresponsive_joining_owner_end) {
  Node other(kOther, 2, {kJoiner});
  const Packet data = Node(kJoiner, 2, {}).PlaceFlows().front().first;
  BOOST_TEST((other.OnPacket(data).kind == VerdictKind::kRedirect));
  BOOST_TEST((other.OnPacket(data, 600).kind == VerdictKind::kRedirect));
  BOOST_TEST((other.OnPacket(data, 1'400).kind == VerdictKind::kForward));
}

// Otherwise, the packet would be sent back and forth until its hop limit.
BOOST_AUTO_TEST_CASE(a_joining_instance_without_a_record_forwards) {
  Node joiner(kJoiner, 2, {kJoiner});
  const Packet data = Node(kJoiner, 2, {}).PlaceFlows().front().first;
  const Verdict answer = joiner.OnLookup(data, kOther, kOther, kHops - 1);
  BOOST_TEST((answer.kind == VerdictKind::kForward));
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace sapphirestream
