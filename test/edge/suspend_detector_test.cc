// Guards against an instance that acts on an outdated view after a pause.
#include "sapphirestream/edge/suspend_detector.h"

#include <boost/test/unit_test.hpp>

namespace sapphirestream {
namespace {

using namespace std::chrono_literals;

constexpr TimePoint kStart{100s};

BOOST_AUTO_TEST_SUITE(suspend_detector)

BOOST_AUTO_TEST_CASE(late_timers_are_not_a_pause) {
  SuspendDetector detector(250ms, kStart);
  BOOST_TEST(!detector.Check(kStart + 1249ms).has_value());
  BOOST_TEST(!detector.Check(kStart + 2498ms).has_value());
}

BOOST_AUTO_TEST_CASE(a_pause_is_reported_once) {
  SuspendDetector detector(250ms, kStart);
  const auto pause = detector.Check(kStart + 1250ms);
  BOOST_REQUIRE(pause.has_value());
  BOOST_TEST(pause->count() == Duration(1s).count());
  BOOST_TEST(!detector.Check(kStart + 1251ms).has_value());
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace sapphirestream
