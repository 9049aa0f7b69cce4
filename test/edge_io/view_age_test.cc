// Guards against a view that is older than its bound without anyone noticing.
#include "sapphirestream/edge_io/view_age.h"

#include <boost/test/unit_test.hpp>
#include <string>
#include <vector>

#include "testing/manual_clock.h"

namespace sapphirestream {
namespace {

using namespace std::chrono_literals;

struct Fixture : LogSink {
  Fixture() { age.set_bound(3s); }
  void Write(LogLevel /*level*/, const std::string& line) override {
    lines.push_back(line);
  }
  void ReportAfter(Duration span) {
    clock.Advance(span);
    age.Report(clock.Now());
  }

  std::vector<std::string> lines;
  testing::ManualClock clock;
  EventLog log{*this, clock, 1000};
  CounterSet counters;
  ViewAge age{"targets", log, counters};
};

BOOST_FIXTURE_TEST_SUITE(view_age, Fixture)

BOOST_AUTO_TEST_CASE(nothing_is_reported_before_the_first_list) {
  ReportAfter(10s);
  BOOST_TEST(lines.empty());
}

BOOST_AUTO_TEST_CASE(an_old_view_is_reported_once_until_it_is_current) {
  age.SetCompleteUntil(clock.Now());
  ReportAfter(3s);
  BOOST_TEST(lines.empty());
  ReportAfter(500ms);
  ReportAfter(500ms);
  BOOST_TEST(lines ==
                 std::vector<std::string>{
                     "event=view_stale collection=targets age_ms=3500"},
             boost::test_tools::per_element());
  BOOST_TEST(counters.Emplace("view_age_ms{collection=\"targets\"}").value() ==
             4000U);
  age.SetCompleteUntil(clock.Now());
  ReportAfter(20ms);
  BOOST_TEST(lines.back() == "event=view_current collection=targets age_ms=20");
  BOOST_TEST(
      counters.Emplace("view_stale_total{collection=\"targets\"}").value() ==
      1U);
}

// A reader that starts again does not know the age at first, but the view has
// not lost anything.
BOOST_AUTO_TEST_CASE(the_view_never_becomes_older_by_a_reply) {
  const TimePoint start = clock.Now();
  age.SetCompleteUntil(start);
  age.SetCompleteUntil(start - 1s);
  age.SetCompleteUntil(TimePoint{});
  BOOST_TEST((age.complete_until() == start));
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace sapphirestream
