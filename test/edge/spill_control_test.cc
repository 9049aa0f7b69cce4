// Guards against crossings between failure domains that gain nothing, and
// against shifts of load that are abrupt or differ between instances.
#include "sapphirestream/edge/spill_control.h"

#include <boost/test/unit_test.hpp>

namespace sapphirestream {
namespace {

using namespace std::chrono_literals;

constexpr DomainLoad kIdle{};
constexpr DomainLoad kBusy{.expected_wait = 4, .outstanding = 100};

// Requests in progress in other domains, as a multiple of those that would
// take as long as the local ones.
constexpr double kFaster = 0.5;
constexpr double kSlower = 1.3;

struct Fixture {
  // Places flows for some time, and lets as many cross as the share allows.
  void Run(const DomainLoad& local, double remote_time, Duration time) {
    for (Duration t{}; t < time; t += 2ms) {
      now += 2ms;
      const double share = control.share();
      control.Update(local,
                     {.outstanding = remote_time * local.outstanding * share /
                                     (1 - share)},
                     now);
      control.OnPlaced(control.MayCross(++flow));
    }
  }

  TimePoint now{1000s};
  std::uint64_t flow = 0;
  SpillControl control;
};

BOOST_FIXTURE_TEST_SUITE(spill_control, Fixture)

BOOST_AUTO_TEST_CASE(nothing_crosses_while_the_local_wait_is_short) {
  Run({.expected_wait = SpillControl::kCrossingCost, .outstanding = 100},
      kFaster, 10s);
  BOOST_TEST(control.share() == 0);
  BOOST_TEST(!control.MayCross(0));
}

BOOST_AUTO_TEST_CASE(the_share_rises_gradually) {
  control.Update(kBusy, kIdle, now);
  BOOST_TEST(control.share() <= SpillControl::kMaxStep);
  Run(kBusy, kFaster, SpillControl::kEffectDelay);
  BOOST_TEST(control.share() <= 2.1 * SpillControl::kMaxStep);
  Run(kBusy, kFaster, 6s);
  BOOST_TEST(control.share() > 0.9);
}

// The first flow after a pause must not shift the load at once.
BOOST_AUTO_TEST_CASE(a_pause_raises_the_share_by_one_step_at_most) {
  Run(kBusy, kFaster, 30ms);
  const double before = control.share();
  control.Update(kBusy, kIdle, now += 60s);
  BOOST_TEST(control.share() <= before + SpillControl::kMaxStep + 1e-9);
}

BOOST_AUTO_TEST_CASE(the_share_falls_when_the_local_wait_is_short_again) {
  Run(kBusy, kFaster, 5s);
  Run(kIdle, kFaster, 2s);
  BOOST_TEST(control.share() == 0);
}

// A wrong view of one instance, or no knowledge of the other domains.
BOOST_AUTO_TEST_CASE(without_evidence_of_a_gain_most_flows_stay) {
  for (int i = 0; i < 1000; ++i) control.Update(kBusy, kIdle, now += 10ms);
  BOOST_TEST(control.share() == SpillControl::kUnprovenShare);
}

// All domains are overloaded: a crossing only adds its own time.
BOOST_AUTO_TEST_CASE(flows_stay_if_requests_take_longer_in_other_domains) {
  for (const double remote_time : {1.0, kSlower}) {
    Run(kBusy, remote_time, 5s);
    for (int i = 0; i < 20; ++i) {
      Run(kBusy, remote_time, 100ms);
      BOOST_TEST(control.share() < 0.15);
    }
  }
}

// Rejected requests end early.
BOOST_AUTO_TEST_CASE(flows_stay_if_other_domains_reject_requests) {
  for (int i = 0; i < 2000; ++i) {
    const double share = control.share();
    control.Update(
        kBusy,
        {.outstanding = 0.6 * kBusy.outstanding * share / (1 - share),
         .failure_share = 0.3},
        now += 2ms);
    control.OnPlaced(control.MayCross(++flow));
  }
  BOOST_TEST(control.share() < 0.15);
}

// Copies of an opening packet at instances with different shares.
BOOST_AUTO_TEST_CASE(flows_that_cross_keep_crossing_when_the_share_rises) {
  SpillControl higher;
  Run(kBusy, kFaster, 300ms);
  for (int i = 0; i < 100; ++i) higher.Update(kBusy, kIdle, now += 10ms);
  BOOST_TEST(higher.share() > control.share());
  int crossing = 0;
  for (std::uint64_t hash = 0; hash < 10000; ++hash) {
    if (!control.MayCross(hash)) continue;
    ++crossing;
    BOOST_TEST(higher.MayCross(hash));
  }
  BOOST_TEST(crossing == 10000 * control.share(),
             boost::test_tools::tolerance(0.1));
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace sapphirestream
