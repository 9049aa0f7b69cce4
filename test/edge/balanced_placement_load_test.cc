// Simulates uneven demand and targets of different speed. Guards against a
// placement that leaves targets idle while others reject requests, and against
// traffic between failure domains that gains nothing.
// docs/design/placement-under-load.md has the figures of more fleets.
#include <boost/test/unit_test.hpp>

#include "test/edge/load_simulation.h"

namespace sapphirestream {
namespace {

using namespace std::chrono_literals;
using load::Load;
using load::LoadSimulation;
using load::Policy;
using load::Result;

Load SmallFleet() {
  Load load;
  load.policy = Policy::kBalanced;
  load.exchange_interval = 100ms;
  load.crossing = 5ms;
  load.warm_up = 3s;
  load.measured = 6s;
  return load;
}

// Each instance opens a flow to a target so rarely that its own count is
// nearly always zero.
Load LargeFleet() {
  Load load = SmallFleet();
  load.instances = {19, 19, 19, 19};
  load.targets = {30, 30, 30, 30};
  load.warm_up = 2s;
  load.measured = 2s;
  return load;
}

Result Run(Load load, Policy policy = Policy::kBalanced) {
  load.policy = policy;
  return LoadSimulation(load).Run();
}

double ShareOf(std::size_t count, const Result& result) {
  return static_cast<double>(count) / static_cast<double>(result.placed);
}

BOOST_AUTO_TEST_SUITE(balanced_placement_load)

BOOST_AUTO_TEST_CASE(usual_load_rejects_less_and_waits_less_than_a_plain_hash) {
  for (const Load& load : {SmallFleet(), LargeFleet()}) {
    Result balanced = Run(load);
    Result hashed = Run(load, Policy::kPlainHash);
    BOOST_TEST(balanced.Percentile(0.99).count() <
               hashed.Percentile(0.99).count());
    BOOST_TEST(balanced.rejected < hashed.rejected);
    BOOST_TEST(balanced.ServedInTime() > hashed.ServedInTime());
  }
}

// The usual time of a slow target's request is longer than the callers wait.
BOOST_AUTO_TEST_CASE(a_quarter_of_slow_targets_delays_few_requests) {
  Load load = LargeFleet();
  load.request_times = {0.7, 0.7, 1.7};
  load.utilization = 0.125;
  load.burst_factor = 2;
  load.slowdown = 5;
  load.measured = 6s;
  const Result result = Run(load);
  BOOST_TEST(ShareOf(result.late, result) <= 0.004);
  BOOST_TEST(result.rejected == 0U);
}

// 600 of the 54,000 requests of a peak.
BOOST_AUTO_TEST_CASE(a_sixfold_burst_rejects_few_requests) {
  Load load = LargeFleet();
  load.request_times = {0.7, 0.7, 1.7};
  load.utilization = 0.125;
  load.burst_factor = 6;
  const Result result = Run(load);
  BOOST_TEST(ShareOf(result.rejected, result) <= 600.0 / 54000);
}

BOOST_AUTO_TEST_CASE(a_domain_beyond_its_capacity_uses_others) {
  for (Load load : {SmallFleet(), LargeFleet()}) {
    load.utilization = 0.5;
    load.peak_factor = 3;
    const Result balanced = Run(load);
    const Result tiers = Run(load, Policy::kPlaceFlow);
    // A third of the flows of the domain, which are half of all, has to cross.
    BOOST_TEST(ShareOf(balanced.crossed, balanced) > 0.12);
    BOOST_TEST(ShareOf(balanced.crossed, balanced) < 0.25);
    BOOST_TEST(balanced.ServedInTime() >= 0.97);
    BOOST_TEST(balanced.rejected <= tiers.rejected + balanced.placed / 100);
  }
}

// Nothing is gained by crossing. Some flows cross at first, until that is
// known.
BOOST_AUTO_TEST_CASE(domains_that_are_all_overloaded_keep_their_flows) {
  Load load = LargeFleet();
  load.utilization = 1.3;
  load.warm_up = 4s;
  const Result result = Run(load);
  BOOST_TEST(ShareOf(result.crossed, result) < 0.1);
}

BOOST_AUTO_TEST_CASE(copies_mostly_get_the_same_target) {
  Load load = LargeFleet();
  load.utilization = 0.25;
  const Result result = Run(load);
  BOOST_TEST(result.copies > 500U);
  BOOST_TEST(static_cast<double>(result.copies_on_target) >=
             0.75 * static_cast<double>(result.copies));
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace sapphirestream
