// Guards against an instance that reports ready before routes and targets are
// loaded, or that stops while packets still arrive.
#include "sapphirestream/edge/edge_lifecycle.h"

#include <boost/test/unit_test.hpp>

namespace sapphirestream {
namespace {

BOOST_AUTO_TEST_SUITE(edge_lifecycle)

BOOST_AUTO_TEST_CASE(a_planned_stop_passes_through_leaving) {
  EdgeLifecycle lifecycle;
  BOOST_TEST(!lifecycle.Apply(EdgeEvent::kDrainFinished));
  BOOST_TEST(lifecycle.Apply(EdgeEvent::kLoaded));
  BOOST_TEST(!lifecycle.Apply(EdgeEvent::kDrainFinished));
  BOOST_TEST(lifecycle.Apply(EdgeEvent::kStopRequested));
  BOOST_TEST(!lifecycle.Apply(EdgeEvent::kLoaded));
  BOOST_TEST(Name(lifecycle.state()) == "leaving");
  BOOST_TEST(lifecycle.Apply(EdgeEvent::kDrainFinished));
  BOOST_TEST(Name(lifecycle.state()) == "stopped");
}

BOOST_AUTO_TEST_CASE(an_instance_that_never_served_stops_immediately) {
  EdgeLifecycle lifecycle;
  BOOST_TEST(lifecycle.Apply(EdgeEvent::kStopRequested));
  BOOST_TEST(Name(lifecycle.state()) == "stopped");
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace sapphirestream
