// Guards against observations that do not reach the peers, and against peers
// that are gone or send false data.
#include <boost/test/unit_test.hpp>
#include <cstdint>

#include "sapphirestream/edge/performance_table.h"
#include "test/edge/performance_fixture.h"

namespace sapphirestream {
namespace {

constexpr PeerId kPeer{1};
constexpr PeerId kOtherPeer{2};

struct Fixture : PerformanceFixture {
  TargetSamples Samples(std::uint64_t key) {
    return {.target = TargetKey{key},
            .incarnation = At(key).record.incarnation};
  }
  void Report(PeerId peer, const TargetSamples& samples) {
    table.OnPeerSamples(peer, {samples}, now);
  }
};

BOOST_FIXTURE_TEST_SUITE(performance_table_peers, Fixture)

BOOST_AUTO_TEST_CASE(samples_are_taken_once_and_counts_are_repeated) {
  Answer(1, 20ms, kNormalBytes);
  Answer(1, 0ms, 0);
  At(2).outstanding = 1;
  const auto first = table.TakeSamples(now);
  BOOST_TEST_REQUIRE(first.size() == 2U);
  const bool in_order = first[0].target == TargetKey{1};
  const TargetSamples& finished = first[in_order ? 0 : 1];
  BOOST_TEST(finished.count == 2U);
  BOOST_TEST(finished.failures == 1U);
  BOOST_TEST(finished.relative_time_permille == 1000U);
  BOOST_TEST(first[in_order ? 1 : 0].outstanding == 1U);
  BOOST_TEST(table.TakeSamples(now).empty());
  now += OwnSamples::kRepeatInterval;
  BOOST_TEST(table.TakeSamples(now).size() == 1U);
  At(2).outstanding = 0;
  BOOST_TEST(table.TakeSamples(now).size() == 1U);
  now += OwnSamples::kRepeatInterval;
  BOOST_TEST(table.TakeSamples(now).empty());
}

BOOST_AUTO_TEST_CASE(counts_of_peers_are_added_until_they_expire) {
  TargetSamples samples = Samples(1);
  samples.outstanding = 2;
  At(1).outstanding = 1;
  Report(kPeer, samples);
  Report(kOtherPeer, samples);
  BOOST_TEST(Of(1).outstanding == 5U);
  table.ErasePeer(kOtherPeer);
  BOOST_TEST(Of(1).outstanding == 3U);
  Wait(PeerReports::kOutstandingExpiry);
  BOOST_TEST(Of(1).outstanding == 1U);
  Report(kPeer, samples);
  now += PeerReports::kOutstandingExpiry;
  BOOST_TEST(Of(1).outstanding == 1U);
}

BOOST_AUTO_TEST_CASE(samples_of_peers_are_evidence) {
  for (std::uint64_t peer = 1; peer <= 10; ++peer) {
    TargetSamples samples = Samples(1);
    samples.count = 2;
    samples.relative_time_permille = 10'000;
    Report(PeerId{peer}, samples);
    samples = Samples(2);
    samples.count = 2;
    samples.relative_time_permille = 2000;
    Report(PeerId{peer}, samples);
  }
  Wait(100ms);
  BOOST_TEST(Of(1).weight < 0.3 * Of(2).weight);
}

BOOST_AUTO_TEST_CASE(a_lying_peer_has_little_influence) {
  for (int i = 0; i < 200; ++i) {
    Serve(100ms);
    for (std::uint64_t peer = 1; peer <= 20; ++peer) {
      if (i % 2 > 0) continue;
      TargetSamples honest = Samples(1);
      honest.count = 1;
      honest.relative_time_permille = 1000;
      Report(PeerId{peer}, honest);
    }
    TargetSamples lie = Samples(1);
    lie.count = UINT32_MAX;
    lie.failures = i % 2 == 0 ? 0 : UINT32_MAX;
    lie.relative_time_permille = UINT64_MAX;
    lie.outstanding = UINT32_MAX;
    Report(PeerId{99}, lie);
  }
  Wait(100ms);
  BOOST_TEST(Of(1).weight > 0.5);
  BOOST_TEST(Of(1).outstanding <= 4U);
}

BOOST_AUTO_TEST_CASE(inconsistent_samples_are_harmless) {
  TargetSamples samples = Samples(1);
  samples.failures = 9;
  Report(kPeer, samples);
  samples.count = 3;
  samples.failures = 0;
  Report(kPeer, samples);
  Wait(100ms);
  BOOST_TEST(Of(1).failure_share == 0);
  BOOST_TEST(Of(1).weight <= PerformanceTable::kMaxWeight);
}

BOOST_AUTO_TEST_CASE(samples_of_unknown_targets_and_processes_are_ignored) {
  TargetSamples samples = Samples(1);
  samples.count = 3;
  samples.failures = 3;
  samples.outstanding = 3;
  samples.incarnation = Incarnation{0};
  Report(kPeer, samples);
  samples.incarnation = Incarnation{UINT64_MAX};
  Report(kPeer, samples);
  samples.target = TargetKey{4711};
  Report(kPeer, samples);
  BOOST_TEST(table.size() == 0U);
  BOOST_TEST(Of(1).outstanding == 0U);
}

BOOST_AUTO_TEST_CASE(peers_that_change_their_id_are_bounded) {
  TargetSamples samples = Samples(1);
  samples.outstanding = 1;
  for (std::uint64_t peer = 0; peer < 2 * PeerReports::kMaxPeers; ++peer) {
    Report(PeerId{peer}, samples);
  }
  BOOST_TEST(Of(1).outstanding == PeerReports::kMaxPeers);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace sapphirestream
