// Guards against request times that look long, or usual, by chance.
#include "sapphirestream/edge/request_times.h"

#include <boost/test/unit_test.hpp>

#include "test/edge/sample.h"

namespace sapphirestream {
namespace {

using namespace std::chrono_literals;

struct Fixture {
  Fixture() { times.SetObjective(sample::kFeed, 100ms); }
  void Add(Duration took, int count, bool is_lightly_loaded,
           TargetGroup group = TargetGroup::kLocal) {
    for (int i = 0; i < count; ++i) {
      now += 1ms;
      times.Add(kService, group, sample::kFeed, took, is_lightly_loaded, now);
    }
  }
  [[nodiscard]] double Stretch(TargetGroup group = TargetGroup::kLocal) const {
    return times.SlowdownOf(kService, group, now);
  }

  static constexpr ServiceNumber kService{1};
  TimePoint now{1000s};
  RequestTimes times;
};

BOOST_FIXTURE_TEST_SUITE(request_times, Fixture)

// A usual time that was learned from one short request made all later ones look
// delayed: refusals at 80% load.
BOOST_AUTO_TEST_CASE(a_short_first_request_is_not_the_usual_one) {
  Add(5ms, 1, true);
  Add(20ms, 200, true);
  BOOST_TEST(Stretch() < 1.2);
}

BOOST_AUTO_TEST_CASE(times_under_load_do_not_become_usual) {
  Add(20ms, 200, true);
  Add(60ms, 2000, false);
  BOOST_TEST(Stretch() > 2.5);
  BOOST_TEST(times.ObjectiveRatio(kService, now) > 0.5);
}

BOOST_AUTO_TEST_CASE(a_lasting_change_without_load_becomes_usual) {
  Add(20ms, 200, true);
  Add(60ms, 10000, true);
  BOOST_TEST(Stretch() < 1.1);
}

BOOST_AUTO_TEST_CASE(first_requests_to_other_domains_are_compared_with_local) {
  Add(20ms, 200, true);
  Add(60ms, 100, false, TargetGroup::kRemote);
  BOOST_TEST(Stretch(TargetGroup::kRemote) > 2);
}

BOOST_AUTO_TEST_CASE(old_times_are_not_used) {
  Add(20ms, 200, true);
  Add(60ms, 200, false);
  now += 500ms;
  BOOST_TEST(Stretch() == 1);
  BOOST_TEST(times.ObjectiveRatio(kService, now) == 0);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace sapphirestream
