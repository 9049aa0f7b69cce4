// Guards against a version that reverts, and against one that becomes active
// before the other instances could have prepared it: flows placed by it would
// break there.
#include "sapphirestream/instance/config_timeline.h"

#include <boost/test/unit_test.hpp>

#include "sapphirestream/instance/peer_versions.h"
#include "testing/manual_clock.h"

namespace sapphirestream {
namespace {

using std::chrono::milliseconds;

struct Fixture {
  testing::ManualClock clock;
  ConfigTimeline timeline;

  std::shared_ptr<const Configuration> Make(std::uint64_t version,
                                            Duration age) const {
    auto out = std::make_shared<Configuration>();
    out->version = ConfigVersion{version};
    ChangeRecord change;
    change.version = out->version;
    change.accepted =
        clock.WallNow() - std::chrono::duration_cast<milliseconds>(age);
    out->recent_changes.push_back(change);
    return out;
  }
  bool Take(std::uint64_t version, Duration age = std::chrono::hours(1)) {
    return timeline.OnConfiguration(Make(version, age), clock.Now(),
                                    clock.WallNow());
  }
  bool Tick(std::uint64_t prepared_by_all = 0) {
    return timeline.OnTimer(ConfigVersion{prepared_by_all}, clock.Now());
  }
  std::uint64_t Active() const { return Value(timeline.active()->version); }
};

BOOST_FIXTURE_TEST_SUITE(config_timeline, Fixture)

BOOST_AUTO_TEST_CASE(lower_and_equal_versions_are_ignored) {
  BOOST_TEST(Take(5));
  BOOST_TEST(!Take(5));
  BOOST_TEST(!Take(4));
  BOOST_TEST(Value(timeline.newest()->version) == 5U);
}

BOOST_AUTO_TEST_CASE(a_version_waits_for_the_others_or_its_delay) {
  Take(5);
  BOOST_TEST(Active() == 5U);
  Take(6, Duration::zero());
  BOOST_TEST(!Tick(5));
  BOOST_TEST(Active() == 5U);
  BOOST_TEST(Tick(6));
  BOOST_TEST(Active() == 6U);
  Take(7, Duration::zero());
  clock.Advance(ConfigTimeline::kActivationDelay - milliseconds(1));
  BOOST_TEST(!Tick());
  clock.Advance(milliseconds(1));
  BOOST_TEST(Tick());
  BOOST_TEST(Active() == 7U);
}

BOOST_AUTO_TEST_CASE(versions_become_active_in_their_order) {
  Take(5);
  Take(6, Duration::zero());
  clock.Advance(ConfigTimeline::kActivationDelay / 2);
  Take(7, Duration::zero());
  clock.Advance(ConfigTimeline::kActivationDelay / 2);
  BOOST_TEST(Tick());
  BOOST_TEST(Active() == 6U);
}

BOOST_AUTO_TEST_CASE(a_fresh_change_is_not_active_at_the_start) {
  Take(5, std::chrono::seconds(1));
  BOOST_TEST(Active() == 4U);
  clock.Advance(ConfigTimeline::kActivationDelay);
  BOOST_TEST(Tick());
  BOOST_TEST(Active() == 5U);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_FIXTURE_TEST_SUITE(peer_versions, Fixture)

BOOST_AUTO_TEST_CASE(unheard_members_hold_activation_up) {
  const InstanceId self{1};
  const ConfigVersion own{9};
  const MemberView view({{.id = self}, {.id = InstanceId{2}}});
  PeerVersions peers;
  BOOST_TEST((peers.PreparedByAll(view, self, own) == ConfigVersion{0}));
  Heartbeat heartbeat;
  heartbeat.prepared = ConfigVersion{8};
  peers.OnHeartbeat(InstanceId{2}, heartbeat, clock.Now());
  BOOST_TEST((peers.PreparedByAll(view, self, own) == ConfigVersion{8}));
}

BOOST_AUTO_TEST_CASE(contact_is_lost_without_a_confirmation) {
  const InstanceId self{1};
  PeerVersions peers;
  const auto is_confirmed = [&](const MemberView& view) {
    return peers.IsConfirmed(view, self, ConfigVersion{8}, clock.Now());
  };
  BOOST_TEST(is_confirmed(MemberView({{.id = self}})));
  const MemberView view(
      {{.id = self}, {.id = InstanceId{2}, .state = MemberState::kDead}});
  BOOST_TEST(!is_confirmed(view));
  Heartbeat heartbeat;
  heartbeat.prepared = ConfigVersion{7};
  peers.OnHeartbeat(InstanceId{2}, heartbeat, clock.Now());
  BOOST_TEST(!is_confirmed(view));
  heartbeat.prepared = ConfigVersion{8};
  peers.OnHeartbeat(InstanceId{2}, heartbeat, clock.Now());
  BOOST_TEST(is_confirmed(view));
  clock.Advance(PeerVersions::kContactLimit);
  BOOST_TEST(!is_confirmed(view));
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace sapphirestream
