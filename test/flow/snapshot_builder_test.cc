// Guards against instances that derive different former versions, and against
// flows that move when a target is added or drained.
#include "sapphirestream/flow/snapshot_builder.h"

#include <boost/test/unit_test.hpp>

#include "sapphirestream/flow/stateless_rule.h"
#include "testing/flow_fixture.h"

namespace sapphirestream {
namespace {

using fleet::kBoard;
using testing::MakeMembers;
using testing::MakeSnapshot;

constexpr WallTime kAccepted{std::chrono::seconds(990)};

std::size_t CountStable(const ServiceView& view) {
  std::size_t stable = 0;
  for (std::uint64_t n = 0; n < 1000; ++n) {
    if (IsBucketStable(view, HashPair(n, 1))) ++stable;
  }
  return stable;
}

BOOST_AUTO_TEST_SUITE(snapshot_builder)

BOOST_AUTO_TEST_CASE(a_prepared_version_makes_only_its_buckets_unstable) {
  const Configuration old = fleet::MakeSite({});
  const Configuration next = fleet::DrainTarget(old, kBoard, kAccepted);
  const auto members = MakeMembers(4, 4);
  const auto snapshot = MakeSnapshot(InstanceId{1}, old, next, members);
  const ServiceView& board = snapshot->services.at(kBoard);
  BOOST_TEST(board.prepared.size() == 1U);
  BOOST_TEST(board.retained.empty());
  const std::size_t stable = CountStable(board);
  // One of 14 targets leaves: about 71 of 1,000 buckets.
  BOOST_TEST(stable > 850U);
  BOOST_TEST(stable < 1000U);
  BOOST_TEST(CountStable(snapshot->services.at(fleet::kUploads)) == 1000U);
}

// A restarted instance has only the newest configuration.
BOOST_AUTO_TEST_CASE(former_versions_follow_from_the_newest_configuration) {
  const Configuration old = fleet::MakeSite({});
  const Configuration next = fleet::DrainTarget(old, kBoard, kAccepted);
  const auto members = MakeMembers(4, 4);
  const auto before = MakeSnapshot(InstanceId{1}, old, old, members);
  const auto after = MakeSnapshot(InstanceId{2}, next, next, members);
  const ServiceView& was = before->services.at(kBoard);
  const ServiceView& is = after->services.at(kBoard);
  BOOST_REQUIRE(is.retained.size() == 1U);
  BOOST_TEST(!is.retained.front().recorded);
  for (std::uint64_t n = 0; n < 1000; ++n) {
    const std::uint64_t hash = HashPair(n, 2);
    BOOST_TEST((UnrecordedTarget(is, hash) == was.active.table->At(hash)));
  }
}

BOOST_AUTO_TEST_CASE(a_lower_load_share_keeps_flows_placed_by_load_recorded) {
  const Configuration old = fleet::MakeSite({});
  const Configuration next = fleet::SwitchPreset(old, 0, kAccepted);
  const auto members = MakeMembers(4, 4);
  const auto snapshot = MakeSnapshot(InstanceId{1}, next, next, members);
  const ServiceView& board = snapshot->services.at(kBoard);
  BOOST_TEST(board.active.load_share_permille == 0U);
  std::size_t recorded = 0;
  for (std::uint64_t n = 0; n < 1000; ++n) {
    if (!IsStateless(board, HashPair(n, 3))) ++recorded;
  }
  BOOST_TEST(recorded > 150U);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace sapphirestream
