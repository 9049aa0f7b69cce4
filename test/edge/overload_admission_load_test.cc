// Guards against late answers and unfairness under sustained overload, and
// against refusals that outlast it.
#include <boost/test/unit_test.hpp>

#include "test/edge/overload_simulation.h"

namespace sapphirestream {
namespace {

OverloadResult Play(const OverloadPlan& plan) {
  return OverloadSimulation(plan).Run();
}

BOOST_AUTO_TEST_SUITE(overload_admission_load)

// The urgent requests need 60% of the capacity.
BOOST_AUTO_TEST_CASE(urgent_requests_are_in_time_at_three_times_the_capacity) {
  for (std::uint64_t seed = 1; seed <= 2; ++seed) {
    const OverloadResult with = Play({.peak = 3, .seed = seed});
    const OverloadResult without =
        Play({.admission = false, .peak = 3, .seed = seed});
    BOOST_TEST_CONTEXT("seed " << seed) {
      BOOST_TEST(with.peak[0].Share() > 0.9);
      BOOST_TEST(with.peak[0].Share() > with.peak[1].Share());
      BOOST_TEST(with.peak[1].Share() > with.peak[2].Share());
      BOOST_TEST(with.peak[2].in_time > 0);
      BOOST_TEST(with.utilization > 0.85);
      BOOST_TEST(with.rejected * 10 < without.rejected);
      BOOST_TEST(with.refused_before == 0);
      BOOST_TEST(with.recovery.count() < Duration(1s).count());
    }
  }
}

// The urgent requests alone need twice the capacity.
BOOST_AUTO_TEST_CASE(capacity_is_used_at_ten_times_the_capacity) {
  const OverloadResult with = Play({.peak = 10});
  const OverloadResult without = Play({.admission = false, .peak = 10});
  BOOST_TEST(with.peak[0].in_time > 5 * without.peak[0].in_time);
  BOOST_TEST(with.utilization > 0.85);
  BOOST_TEST(with.rejected * 10 < without.rejected);
  BOOST_TEST(with.recovery.count() < Duration(1s).count());
}

// Instances know only what their own domain sends to the others.
BOOST_AUTO_TEST_CASE(urgent_requests_are_preferred_in_four_domains) {
  const OverloadResult with = Play({.peak = 3, .domains = 4});
  const OverloadResult without =
      Play({.admission = false, .peak = 3, .domains = 4});
  BOOST_TEST(with.peak[0].Share() > 0.5);
  BOOST_TEST(with.peak[0].Share() > 5 * without.peak[0].Share());
  BOOST_TEST(with.rejected * 10 < without.rejected);
  BOOST_TEST(with.recovery.count() < Duration(1s).count());
}

// The targets of the other domains have enough free slots.
BOOST_AUTO_TEST_CASE(a_peak_in_one_domain_is_served_by_the_others) {
  const OverloadResult result =
      Play({.peak = 0.8, .domains = 4, .first_domain = 4});
  BOOST_TEST(result.refused == 0);
  for (const std::size_t priority : {0, 1, 2}) {
    BOOST_TEST(result.peak.at(priority).Share() > 0.95);
  }
}

BOOST_AUTO_TEST_CASE(usual_load_is_never_refused) {
  BOOST_TEST(Play({.usual = 0.8, .peak = 0.8}).refused == 0);
  BOOST_TEST(Play({.usual = 0.8, .peak = 0.8, .domains = 4}).refused == 0);
}

// The greedy client sends as much as all others together.
BOOST_AUTO_TEST_CASE(a_greedy_client_does_not_crowd_out_others) {
  const OverloadResult result = Play({.peak = 3, .greedy_share = 0.5});
  BOOST_TEST(result.peak[0].Share() > 0.9);
  BOOST_TEST(result.peak[3].Share() < result.peak[2].Share());
}

BOOST_AUTO_TEST_CASE(targets_that_fail_at_once_cause_no_refusals) {
  BOOST_TEST(Play({.peak = 0.6, .faulty = 3}).refused == 0);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace sapphirestream
