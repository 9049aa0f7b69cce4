// Guards against refusals without overload, against refusals that could be
// false, and against decisions that differ between instances.
#include "sapphirestream/edge/overload_admission.h"

#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <map>

#include "sapphirestream/base/hash.h"
#include "test/edge/sample.h"

namespace sapphirestream {
namespace {

using namespace std::chrono_literals;

class FakeSource final : public PerformanceSource {
 public:
  [[nodiscard]] TargetEstimate Estimate(const EdgeTarget& target,
                                        TimePoint /*now*/) const override {
    const auto it = estimates.find(target.record.key);
    return it == estimates.end() ? TargetEstimate{} : it->second;
  }
  std::map<TargetKey, TargetEstimate> estimates;
};

struct Fixture {
  Fixture() {
    routes.Apply(sample::Routes(1));
    service = routes.Number("desk");
    for (std::uint64_t key : {1, 2}) Add(key, "a");
    for (std::uint64_t key : {3, 4}) Add(key, "b");
  }
  void Add(std::uint64_t key, const std::string& domain) {
    targets.Upsert(sample::Target(key, domain), {StoreEra{1}, ++revision},
                   /*propagated=*/true, now);
  }
  EdgeTarget& At(std::uint64_t key) { return *targets.Find(TargetKey{key}); }
  void Load(std::initializer_list<std::uint64_t> keys,
            std::uint32_t outstanding, double failure_share = 0) {
    for (const std::uint64_t key : keys) {
      source.estimates[TargetKey{key}] = {.failure_share = failure_share,
                                          .outstanding = outstanding};
    }
  }
  // Finishes a request each ms while flows are opened.
  void Observe(std::uint64_t target, Duration took, int count) {
    for (int i = 0; i < count; ++i) {
      admission.OnRequest({.target = TargetKey{target},
                           .route = sample::kFeed,
                           .took = took,
                           .answer_bytes = 100,
                           .at = now});
      RefusedShare(1ms);
    }
  }
  AdmissionQuery Query(std::uint64_t number, std::uint32_t priority = 1) const {
    return {.client = {static_cast<std::uint32_t>(number), 1024},
            .route = sample::kFeed,
            .service = service,
            .objective = {.target_latency = 100ms, .priority = priority},
            .flow_hash = HashPair(number, 99),
            .now = now};
  }
  bool Admit(OverloadAdmission& instance, const AdmissionQuery& query) {
    return instance.Admit(targets.OfService(service), query) ==
           AdmissionVerdict::kAdmit;
  }
  // Returns the refused share of openings, 1 each ms with the priorities 0 to
  // 2, of the last 100 ms.
  double RefusedShare(Duration span = 1s) {
    int refused = 0;
    for (Duration t{}; t < span; t += 1ms) {
      now += 1ms;
      ++openings;
      const bool admitted = Admit(admission, Query(openings, openings % 3));
      if (t >= span - 100ms && !admitted) ++refused;
    }
    return refused / 100.0;
  }

  TimePoint now{1000s};
  std::uint64_t revision = 0;
  std::uint64_t openings = 0;
  RouteTable routes;
  TargetDirectory targets{routes, "a"};
  ServiceNumber service{};
  FakeSource source;
  OverloadAdmission admission{source, targets};
};

BOOST_FIXTURE_TEST_SUITE(overload_admission, Fixture)

BOOST_AUTO_TEST_CASE(without_evidence_everything_is_admitted) {
  BOOST_TEST(RefusedShare() == 0);
}

BOOST_AUTO_TEST_CASE(full_targets_of_all_domains_cause_refusals) {
  Load({1, 2, 3, 4}, 8);
  BOOST_TEST(RefusedShare() > 0.5);
}

// The targets' queues absorb a burst.
BOOST_AUTO_TEST_CASE(a_short_burst_is_queued) {
  Load({1, 2, 3, 4}, 8);
  BOOST_TEST(RefusedShare(190ms) == 0);
  Load({1, 2, 3, 4}, 1);
  BOOST_TEST(RefusedShare() == 0);
}

BOOST_AUTO_TEST_CASE(idle_targets_of_another_domain_prevent_refusals) {
  Load({1, 2}, 10, 0.3);
  BOOST_TEST(RefusedShare() == 0);
}

// Failing targets answer at once and therefore appear idle.
BOOST_AUTO_TEST_CASE(failing_targets_are_no_overload) {
  Load({1}, 0, 0.9);
  Load({2, 3, 4}, 1);
  BOOST_TEST(RefusedShare() == 0);
  Load({1, 2, 3, 4}, 1, 0.9);
  BOOST_TEST(RefusedShare() == 0);
}

// Failing targets must not make the full others look half empty either.
BOOST_AUTO_TEST_CASE(failing_targets_are_no_capacity) {
  Load({1, 2}, 0, 0.9);
  Load({3, 4}, 8);
  BOOST_TEST(RefusedShare() > 0.5);
}

BOOST_AUTO_TEST_CASE(busy_targets_that_reject_cause_refusals) {
  Load({1, 2, 3, 4}, 2, 0.3);
  BOOST_TEST(RefusedShare() > 0.2);
}

BOOST_AUTO_TEST_CASE(late_answers_of_busy_targets_cause_refusals) {
  Load({1, 2, 3, 4}, 2);
  BOOST_TEST(RefusedShare() == 0);
  Observe(1, 160ms, 1000);
  BOOST_TEST(RefusedShare(100ms) > 0.2);
}

// The load that the instances of another domain cause is seen only in request
// times.
BOOST_AUTO_TEST_CASE(slow_targets_of_another_domain_are_not_taken_for_idle) {
  RefusedShare();
  for (std::uint64_t key : {1, 3}) Observe(key, 10ms, 500);
  Load({1, 2}, 4);
  Load({3, 4}, 1);
  for (int i = 0; i < 1000; ++i) {
    Observe(1, 40ms, 1);
    Observe(3, 10ms, 1);
  }
  BOOST_TEST(RefusedShare(100ms) == 0);
  for (int i = 0; i < 1000; ++i) {
    Observe(1, 40ms, 1);
    Observe(3, 40ms, 1);
  }
  BOOST_TEST(RefusedShare(100ms) > 0.2);
}

BOOST_AUTO_TEST_CASE(evacuated_and_cold_targets_are_no_capacity) {
  Load({1, 2}, 8);
  targets.SetEvacuated("b", true, now);
  BOOST_TEST(RefusedShare() > 0.5);
  targets.SetEvacuated("b", false, now);
  At(3).cold_until = At(4).cold_until = now + 10s;
  BOOST_TEST(RefusedShare() > 0.5);
}

// Placement decides what happens then.
BOOST_AUTO_TEST_CASE(a_service_without_targets_is_admitted) {
  Load({1, 2, 3, 4}, 8);
  targets.SetEvacuated("a", true, now);
  targets.SetEvacuated("b", true, now);
  BOOST_TEST(RefusedShare() == 0);
}

BOOST_AUTO_TEST_CASE(a_single_target_without_known_slots_is_handled) {
  for (std::uint64_t key : {2, 3, 4}) At(key).presence = TargetPresence::kGone;
  At(1).record.slots = 0;
  Load({1}, 1);
  BOOST_TEST(RefusedShare() == 0);
  Load({1}, 4);
  BOOST_TEST(RefusedShare() > 0.5);
}

// An earlier copy may have reached a target.
BOOST_AUTO_TEST_CASE(copies_are_never_refused) {
  Load({1, 2, 3, 4}, 8);
  RefusedShare();
  for (std::uint64_t i = 0; i < 1000; ++i) {
    AdmissionQuery query = Query(i, 5);
    query.opening_copies = 1;
    BOOST_REQUIRE(Admit(admission, query));
  }
}

BOOST_AUTO_TEST_CASE(routes_without_objective_are_never_refused) {
  Load({1, 2, 3, 4}, 8);
  RefusedShare();
  for (std::uint64_t i = 0; i < 1000; ++i) {
    AdmissionQuery query = Query(i, 5);
    query.objective = {.priority = 5};
    BOOST_REQUIRE(Admit(admission, query));
  }
}

BOOST_AUTO_TEST_CASE(less_urgent_flows_are_refused_first_but_none_starves) {
  Load({1, 2, 3, 4}, 6);
  RefusedShare(500ms);
  std::map<std::uint32_t, int> admitted;
  for (std::uint64_t i = 0; i < 30000; ++i) {
    const auto priority = static_cast<std::uint32_t>(i % 3);
    if (Admit(admission, Query(1000000 + i, priority))) ++admitted[priority];
  }
  BOOST_TEST(admitted[0] > admitted[1]);
  BOOST_TEST(admitted[1] >= admitted[2]);
  BOOST_TEST(admitted[2] > 0);
}

// Otherwise the share that is admitted would depend on how the network spreads
// packets over instances.
BOOST_AUTO_TEST_CASE(instances_with_equal_views_decide_alike) {
  OverloadAdmission other(source, targets);
  Load({1, 2, 3, 4}, 6);
  int equal = 0;
  for (std::uint64_t i = 0; i < 2000; ++i) {
    now += 1ms;
    if (Admit(admission, Query(i)) == Admit(other, Query(i))) ++equal;
  }
  BOOST_TEST(equal == 2000);
}

BOOST_AUTO_TEST_CASE(a_preview_is_the_next_verdict_and_has_no_effect) {
  Load({1, 2, 3, 4}, 6);
  RefusedShare(500ms);
  for (std::uint64_t i = 0; i < 500; ++i) {
    const AdmissionQuery query = Query(5000 + i);
    const bool preview = admission.Preview(query) == AdmissionVerdict::kAdmit;
    BOOST_REQUIRE(Admit(admission, query) == preview);
  }
  const double share = admission.AdmittedShareOf(service);
  for (int i = 0; i < 500; ++i) {
    now += 1ms;
    (void)admission.Preview(Query(1));
  }
  BOOST_TEST(admission.AdmittedShareOf(service) == share);
}

// Clients that are refused after a peak lose one of their attempts for nothing.
BOOST_AUTO_TEST_CASE(recovery_takes_less_than_a_second) {
  Load({1, 2, 3, 4}, 10);
  RefusedShare(5s);
  Load({1, 2, 3, 4}, 0);
  BOOST_TEST(RefusedShare(1s) == 0);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace sapphirestream
