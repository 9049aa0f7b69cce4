// Guards against a planned stop that cuts off packets or outlasts its grace
// period.
#include "sapphirestream/edge/drain_timer.h"

#include <boost/test/unit_test.hpp>

namespace sapphirestream {
namespace {

using namespace std::chrono_literals;

constexpr TimePoint kStart{100s};
constexpr Duration kGrace = 6s;

// Delivers a packet every 100 ms from the stop request on.
struct Fixture {
  Fixture() { timer.OnStopRequested(kStart); }
  void ReceiveUntil(Duration end) {
    for (Duration at{}; at <= end; at += 100ms) timer.OnPacket(kStart + at);
  }
  bool IsOverAfter(Duration time) {
    return timer.IsOver(kStart + time, kGrace);
  }

  DrainTimer timer;
};

BOOST_FIXTURE_TEST_SUITE(drain_timer, Fixture)

BOOST_AUTO_TEST_CASE(nothing_ends_without_a_request) {
  const DrainTimer idle;
  BOOST_TEST(!idle.IsOver(kStart + 1h, kGrace));
}

// The fabric has not noticed yet that the instance is leaving.
BOOST_AUTO_TEST_CASE(an_idle_instance_waits_for_the_fabric) {
  BOOST_TEST(!IsOverAfter(1499ms));
  BOOST_TEST(IsOverAfter(1500ms));
}

BOOST_AUTO_TEST_CASE(packets_extend_the_drain) {
  ReceiveUntil(2s);
  BOOST_TEST(!IsOverAfter(2699ms));
  BOOST_TEST(IsOverAfter(2700ms));
}

BOOST_AUTO_TEST_CASE(the_drain_ends_before_the_kill) {
  ReceiveUntil(6s);
  BOOST_TEST(!IsOverAfter(5499ms));
  BOOST_TEST(IsOverAfter(5500ms));
}

// A second SIGTERM started the drain again, so that the process was killed with
// packets in its socket.
BOOST_AUTO_TEST_CASE(a_second_request_does_not_extend_the_drain) {
  ReceiveUntil(6s);
  timer.OnStopRequested(kStart + 4s);
  BOOST_TEST(IsOverAfter(5500ms));
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace sapphirestream
