// Guards against load sent to slow or failing targets, and against penalties
// for targets that are not at fault.
#include "sapphirestream/edge/performance_table.h"

#include <boost/test/unit_test.hpp>

#include "test/edge/performance_fixture.h"

namespace sapphirestream {
namespace {

BOOST_FIXTURE_TEST_SUITE(performance_table, PerformanceFixture)

BOOST_AUTO_TEST_CASE(unknown_targets_are_neutral) {
  At(1).outstanding = 3;
  BOOST_TEST(Of(1).weight == 1);
  BOOST_TEST(Of(1).relative_time == 1);
  BOOST_TEST(Of(1).failure_share == 0);
  BOOST_TEST(Of(1).outstanding == 3U);
}

// Otherwise a new target would get much more, or less, than the others.
BOOST_AUTO_TEST_CASE(an_unknown_target_counts_as_a_normal_one) {
  failing = 3;
  Serve(10s);
  Add(kTargets + 1);
  Wait(100ms);
  const double ratio = Of(kTargets + 1).weight / Of(kTargets).weight;
  BOOST_TEST(ratio > 0.8);
  BOOST_TEST(ratio < 1.25);
}

BOOST_AUTO_TEST_CASE(the_path_to_another_domain_is_not_a_fault) {
  const TargetRecord remote = sample::Target(20, "b");
  targets.Upsert(remote, {StoreEra{1}, ++revision}, true, now);
  for (int i = 0; i < 50; ++i) {
    Serve(200ms);
    Answer(20, 60ms, kNormalBytes);
  }
  BOOST_TEST(Of(20).weight == 1);
  BOOST_TEST(Of(1).weight > 0.8);
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

// Otherwise a peak of demand takes capacity away for seconds.
BOOST_AUTO_TEST_CASE(a_full_target_that_rejects_requests_is_not_at_fault) {
  Serve(10s);
  At(1).outstanding = 4;
  for (int i = 0; i < 4; ++i) Fail(1);
  Wait(100ms);
  BOOST_TEST(Of(1).weight > 0.8);
  BOOST_TEST(Of(1).failure_share > 0.1);
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

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace sapphirestream
