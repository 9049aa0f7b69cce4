// Guards against load sent to slow or failing targets, against penalties for
// targets that are not at fault, and against peers that send false data.
#include "sapphirestream/edge/performance_table.h"

#include <boost/test/unit_test.hpp>
#include <cstdint>

#include "sapphirestream/base/random.h"
#include "test/edge/sample.h"

namespace sapphirestream {
namespace {

using namespace std::chrono_literals;

constexpr std::uint64_t kTargets = 8;
constexpr std::uint32_t kNormalBytes = 800;
constexpr PeerId kPeer{1};
constexpr PeerId kOtherPeer{2};

struct Fixture {
  Fixture() {
    for (std::uint64_t key = 1; key <= kTargets; ++key) Add(key);
  }
  void Add(std::uint64_t key, std::uint64_t incarnation = 1) {
    TargetRecord record = sample::Target(key, "a");
    record.incarnation = Incarnation{incarnation};
    targets.Upsert(record, {StoreEra{1}, ++revision}, true, now);
  }
  EdgeTarget& At(std::uint64_t key) { return *targets.Find(TargetKey{key}); }
  TargetEstimate Of(std::uint64_t key) { return table.Estimate(At(key), now); }

  void Answer(std::uint64_t key, Duration took, std::uint32_t answer_bytes) {
    table.OnRequest({.target = TargetKey{key},
                     .incarnation = At(key).record.incarnation,
                     .route = sample::kFeed,
                     .took = took,
                     .answer_bytes = answer_bytes,
                     .at = now});
  }
  void Fail(std::uint64_t key) { Answer(key, 4ms, 200); }
  // Time of a normal answer of a target.
  Duration Usual(std::uint64_t key) {
    return (15ms + std::chrono::milliseconds(random.Next() % 10)) *
           (key <= slow ? 5 : 1) * (all_slow ? 5 : 1);
  }
  // Lets each target answer a request every `interval`.
  void Serve(Duration duration, Duration interval = 100ms) {
    for (const TimePoint end = now + duration; now < end; now += interval) {
      for (std::uint64_t key = 1; key <= kTargets; ++key) {
        if (key <= failing && random.Next() % 10 < 6) {
          Fail(key);
        } else {
          Answer(key, Usual(key),
                 kNormalBytes / 2 + random.Next() % kNormalBytes);
        }
      }
    }
    table.Refresh(now);
  }
  void Wait(Duration duration) {
    now += duration;
    table.Refresh(now);
  }
  TargetSamples Samples(std::uint64_t key) {
    return {.target = TargetKey{key},
            .incarnation = At(key).record.incarnation};
  }
  void Report(PeerId peer, const TargetSamples& samples) {
    table.OnPeerSamples(peer, {samples}, now);
  }

  TimePoint now{1000s};
  std::uint64_t revision = 0;
  // Targets up to these keys are slow, or fail 60% of their requests.
  std::uint64_t slow = 0;
  std::uint64_t failing = 0;
  bool all_slow = false;
  SeededRandom random{7};
  RouteTable routes = [] {
    RouteTable sample_routes;
    sample_routes.Apply(sample::Routes(1));
    return sample_routes;
  }();
  TargetDirectory targets{routes, "a"};
  PerformanceTable table{targets};
};

BOOST_FIXTURE_TEST_SUITE(performance_table, Fixture)

BOOST_AUTO_TEST_CASE(unknown_targets_are_neutral) {
  At(1).outstanding = 3;
  BOOST_TEST(Of(1).weight == 1);
  BOOST_TEST(Of(1).relative_time == 1);
  BOOST_TEST(Of(1).failure_share == 0);
  BOOST_TEST(Of(1).outstanding == 3U);
}

BOOST_AUTO_TEST_CASE(equal_targets_have_about_equal_weights) {
  Serve(20s);
  for (std::uint64_t key = 1; key <= kTargets; ++key) {
    BOOST_TEST(Of(key).weight > 0.8);
    BOOST_TEST(Of(key).weight < 1.25);
  }
  BOOST_TEST(table.penalised() == 0U);
}

BOOST_AUTO_TEST_CASE(ten_requests_show_that_a_target_has_become_slow) {
  Serve(10s);
  slow = 2;
  Serve(1s);
  BOOST_TEST(Of(1).weight < 0.5 * Of(8).weight);
  Serve(5s);
  BOOST_TEST(Of(1).weight < 0.2 * Of(8).weight);
  BOOST_TEST(Of(1).weight >= PerformanceTable::kMinWeight);
  BOOST_TEST(Of(8).weight <= PerformanceTable::kMaxWeight);
  BOOST_TEST(table.penalised() == 2U);
}

// At the rate at which one instance alone observes a target.
BOOST_AUTO_TEST_CASE(rare_requests_show_a_slow_target) {
  slow = 2;
  Serve(25s, 2500ms);
  BOOST_TEST(Of(1).weight < 0.4 * Of(8).weight);
}

BOOST_AUTO_TEST_CASE(a_target_that_is_fast_again_regains_its_weight) {
  slow = 2;
  Serve(20s);
  slow = 0;
  Serve(10s);
  BOOST_TEST(Of(1).weight > 0.75);
}

BOOST_AUTO_TEST_CASE(evidence_is_forgotten_without_requests) {
  slow = 2;
  Serve(20s);
  Wait(8s);
  BOOST_TEST(Of(1).relative_time < 3);
  Wait(24s);
  BOOST_TEST(Of(1).relative_time < 1.3);
  Wait(60s);
  BOOST_TEST(table.size() == 0U);
}

BOOST_AUTO_TEST_CASE(no_target_is_penalised_if_all_become_slow) {
  Serve(10s);
  all_slow = true;
  for (int i = 0; i < 20; ++i) {
    Serve(500ms);
    for (std::uint64_t key = 1; key <= kTargets; ++key) {
      BOOST_TEST(Of(key).weight > 0.6);
    }
  }
}

BOOST_AUTO_TEST_CASE(a_lost_packet_does_not_make_a_target_slow) {
  Serve(10s);
  Answer(1, 230ms, kNormalBytes);
  Wait(100ms);
  BOOST_TEST(Of(1).weight > PerformanceTable::kPenalisedBelow);
}

BOOST_AUTO_TEST_CASE(three_failures_in_a_row_take_most_of_the_load_away) {
  Serve(10s);
  Fail(1);
  Wait(100ms);
  BOOST_TEST(Of(1).weight > 0.3);
  Fail(1);
  Fail(1);
  Wait(100ms);
  BOOST_TEST(Of(1).weight < 0.15);
}

BOOST_AUTO_TEST_CASE(requests_that_clients_give_up_are_failures) {
  Serve(10s);
  for (int i = 0; i < 4; ++i) Answer(1, 1400ms, 0);
  Wait(100ms);
  BOOST_TEST(Of(1).weight < 0.1);
}

BOOST_AUTO_TEST_CASE(failing_targets_are_found_although_they_answer_fast) {
  Serve(10s);
  failing = 2;
  Serve(5s);
  for (std::uint64_t key = 1; key <= failing; ++key) {
    BOOST_TEST(Of(key).weight < 0.1);
    BOOST_TEST(Of(key).failure_share > 0.3);
  }
  BOOST_TEST(Of(8).weight > 0.9);
  BOOST_TEST(table.penalised() == 2U);
}

// The baseline must not take failed answers for normal ones.
BOOST_AUTO_TEST_CASE(failing_targets_are_found_if_they_fail_from_the_start) {
  failing = 3;
  Serve(10s);
  BOOST_TEST(Of(1).weight < 0.15);
  BOOST_TEST(Of(8).weight > 0.9);
}

BOOST_AUTO_TEST_CASE(nobody_is_penalised_if_most_targets_fail) {
  Serve(10s);
  failing = 6;
  Serve(10s);
  BOOST_TEST(table.penalised() == 0U);
}

BOOST_AUTO_TEST_CASE(the_load_returns_gradually_after_the_last_failure) {
  Serve(10s);
  for (int i = 0; i < 10; ++i) Fail(1);
  Wait(3s);
  BOOST_TEST(Of(1).weight < 0.05);
  double previous = Of(1).weight;
  for (int i = 0; i < 5; ++i) {
    Wait(2s);
    const double weight = Of(1).weight;
    BOOST_TEST(weight > previous);
    BOOST_TEST(weight < 2.2 * previous);
    previous = weight;
  }
  Wait(2s);
  BOOST_TEST(Of(1).weight > 0.9);
}

BOOST_AUTO_TEST_CASE(a_failure_during_recovery_cuts_the_load_again) {
  Serve(10s);
  for (int i = 0; i < 10; ++i) Fail(1);
  Wait(12s);
  const double before = Of(1).weight;
  Fail(1);
  Wait(100ms);
  BOOST_TEST(Of(1).weight < 0.6 * before);
}

BOOST_AUTO_TEST_CASE(answers_that_become_shorter_on_all_targets_are_normal) {
  Serve(10s);
  for (int i = 0; i < 60; ++i) {
    for (std::uint64_t key = 1; key <= kTargets; ++key) Fail(key);
    Wait(100ms);
    BOOST_TEST(table.penalised() == 0U);
  }
  Wait(20s);
  for (int i = 0; i < 3; ++i) Fail(1);
  Wait(100ms);
  BOOST_TEST(Of(1).weight > 0.8);
}

BOOST_AUTO_TEST_CASE(a_restarted_target_has_no_history) {
  failing = 1;
  slow = 1;
  Serve(10s);
  Add(1, 2);
  BOOST_TEST(Of(1).relative_time == 1);
  Wait(100ms);
  BOOST_TEST(Of(1).weight > 0.9);
  table.OnRequest({.target = TargetKey{1},
                   .incarnation = Incarnation{1},
                   .route = sample::kFeed,
                   .at = now});
  BOOST_TEST(Of(1).failure_share == 0);
  BOOST_TEST(table.size() == kTargets - 1);
}

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
