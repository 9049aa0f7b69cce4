// Guards against crossings between failure domains that gain nothing, and
// against shifts of load that are abrupt or differ between instances.
#include "sapphirestream/edge/spill_control.h"

#include <boost/test/unit_test.hpp>

namespace sapphirestream {
namespace {

using namespace std::chrono_literals;

constexpr DomainLoad kIdle{.expected_wait = 0, .relative_time = 1};
constexpr DomainLoad kBusy{.expected_wait = 4, .relative_time = 1};
constexpr DomainLoad kFaster{.expected_wait = 0, .relative_time = 0.5};
constexpr DomainLoad kSlower{.expected_wait = 0, .relative_time = 1.5};

struct Fixture {
  void Run(const DomainLoad& local, const DomainLoad& remote, Duration time) {
    for (Duration t{}; t < time; t += 10ms) {
      now += 10ms;
      control.Update(local, remote, now);
    }
  }

  TimePoint now{1000s};
  SpillControl control;
};

BOOST_FIXTURE_TEST_SUITE(spill_control, Fixture)

BOOST_AUTO_TEST_CASE(nothing_crosses_while_the_local_wait_is_short) {
  Run({.expected_wait = SpillControl::kCrossingCost, .relative_time = 1},
      kFaster, 10s);
  BOOST_TEST(control.share() == 0);
  BOOST_TEST(!control.MayCross(0));
}

BOOST_AUTO_TEST_CASE(the_share_rises_gradually) {
  control.Update(kBusy, kFaster, now);
  BOOST_TEST(control.share() <= SpillControl::kMaxStep);
  Run(kBusy, kFaster, SpillControl::kEffectDelay);
  BOOST_TEST(control.share() <= 2.1 * SpillControl::kMaxStep);
  Run(kBusy, kFaster, 3s);
  BOOST_TEST(control.share() == SpillControl::kMaxShare);
}

// The first flow after a pause must not shift the load at once.
BOOST_AUTO_TEST_CASE(a_pause_raises_the_share_by_one_step_at_most) {
  Run(kBusy, kFaster, 30ms);
  const double before = control.share();
  control.Update(kBusy, kFaster, now += 60s);
  BOOST_TEST(control.share() <= before + SpillControl::kMaxStep + 1e-9);
}

BOOST_AUTO_TEST_CASE(the_share_falls_when_the_local_wait_is_short_again) {
  Run(kBusy, kFaster, 5s);
  Run(kIdle, kFaster, 2s);
  BOOST_TEST(control.share() == 0);
}

// A wrong view of one instance, or no knowledge of the other domains.
BOOST_AUTO_TEST_CASE(without_evidence_of_a_gain_most_flows_stay) {
  Run(kBusy, kIdle, 60s);
  BOOST_TEST(control.share() == SpillControl::kUnprovenShare);
}

// All domains are overloaded: a crossing only adds its own time.
BOOST_AUTO_TEST_CASE(flows_stay_if_the_other_domains_are_slower) {
  Run(kBusy, kIdle, 5s);
  Run(kBusy, kSlower, 5s);
  BOOST_TEST(control.share() == SpillControl::kProbeShare);
}

// Copies of an opening packet at instances with different shares.
BOOST_AUTO_TEST_CASE(flows_that_cross_keep_crossing_when_the_share_rises) {
  SpillControl higher;
  Run(kBusy, kFaster, 300ms);
  for (int i = 0; i < 100; ++i) higher.Update(kBusy, kFaster, now += 10ms);
  BOOST_TEST(higher.share() > control.share());
  int crossing = 0;
  for (std::uint64_t flow = 0; flow < 10000; ++flow) {
    if (!control.MayCross(flow)) continue;
    ++crossing;
    BOOST_TEST(higher.MayCross(flow));
  }
  BOOST_TEST(crossing == 10000 * control.share(),
             boost::test_tools::tolerance(0.1));
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace sapphirestream
