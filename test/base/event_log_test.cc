// Guards against a log flooded by a repeated event and against values that
// would be parsed as other fields or lines.
#include "sapphirestream/base/event_log.h"

#include <boost/test/unit_test.hpp>
#include <vector>

#include "testing/manual_clock.h"

namespace sapphirestream {
namespace {

struct Fixture : LogSink {
  void Write(LogLevel, const std::string& line) override {
    lines.push_back(line);
  }

  std::vector<std::string> lines;
  testing::ManualClock clock;
  EventLog log{*this, clock};
};

BOOST_FIXTURE_TEST_SUITE(event_log, Fixture)

BOOST_AUTO_TEST_CASE(values_cannot_be_parsed_as_fields_or_lines) {
  log.Write(LogLevel::kInfo, "started",
            {{"id", 7},
             {"text", "a b\"c\nlevel=x"},
             {"empty", ""},
             {"plain", "127.0.0.1:80"}});
  BOOST_TEST(lines.at(0) ==
             "event=started id=7 text=\"a b\\\"c.level=x\" empty=\"\" "
             "plain=127.0.0.1:80");
}

BOOST_AUTO_TEST_CASE(repeated_events_are_limited_and_counted) {
  for (int i = 0; i < EventLog::kLinesPerPeriod + 5; ++i) {
    log.Write(LogLevel::kWarn, "refused", {});
  }
  log.Write(LogLevel::kWarn, "other", {});
  BOOST_TEST(lines.size() == EventLog::kLinesPerPeriod + 1U);
  clock.Advance(EventLog::kPeriod);
  log.Write(LogLevel::kWarn, "refused", {});
  BOOST_TEST(lines.back() == "event=refused suppressed=5");
  log.Write(LogLevel::kWarn, "refused", {});
  BOOST_TEST(lines.back() == "event=refused");
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace sapphirestream
