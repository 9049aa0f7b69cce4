// Guards against invalid settings that are accepted, and against errors that
// are reported one at a time instead of all together.
#include "sapphirestream/edge_io/edge_settings.h"

#include <boost/test/unit_test.hpp>
#include <map>

namespace sapphirestream {
namespace {

constexpr const char* kFile =
    "# filled in by the platform\n"
    "name = edge-1\n"
    "domain = a\n"
    "data = 127.0.0.1:1\n"
    "ready = 127.0.0.1:2\n"
    "metrics = 127.0.0.1:3\n"
    "store = 127.0.0.1:4\n"
    "unknown-to-this-program = 5\n";

Environment Variables(std::map<std::string, std::string> values) {
  return [values = std::move(values)](
             const std::string& name) -> std::optional<std::string> {
    const auto it = values.find(name);
    if (it == values.end()) return std::nullopt;
    return it->second;
  };
}

BOOST_AUTO_TEST_SUITE(edge_settings)

BOOST_AUTO_TEST_CASE(a_file_alone_is_sufficient) {
  const auto parsed = ParseEdgeSettings({}, Variables({}), kFile);
  BOOST_TEST(parsed.errors.empty());
  BOOST_TEST(parsed.settings.domain == "a");
  BOOST_TEST(ToString(parsed.settings.store) == "127.0.0.1:4");
  BOOST_TEST(parsed.settings.grace.count() == 6000);
}

BOOST_AUTO_TEST_CASE(flags_override_variables_and_variables_override_the_file) {
  const auto environment = Variables(
      {{"SAPPHIRE_EDGE_DOMAIN", "b"}, {"SAPPHIRE_EDGE_GRACE_S", "9"}});
  const auto parsed = ParseEdgeSettings({"--domain=c"}, environment, kFile);
  BOOST_TEST(parsed.settings.domain == "c");
  BOOST_TEST(parsed.settings.grace.count() == 9000);
}

BOOST_AUTO_TEST_CASE(all_errors_are_reported_together) {
  const auto parsed = ParseEdgeSettings(
      {"--grace-s=0", "--store=nowhere", "--check"}, Variables({}), "");
  BOOST_TEST((parsed.mode == EdgeStartMode::kCheck));
  // Name, domain and three addresses are missing; two values are invalid.
  BOOST_TEST(parsed.errors.size() == 7U);
  bool has_unit = false;
  for (const std::string& error : parsed.errors) {
    has_unit |= error == "name=grace-s value=\"0\" must be 1 to 600 seconds";
  }
  BOOST_TEST(has_unit);
}

// With a fixed interval of 500 ms, 300 instances read each configuration of a
// quick succession although much more time was allowed.
BOOST_AUTO_TEST_CASE(configuration_watches_follow_the_bound_on_a_change) {
  const auto interval_for = [](const std::vector<std::string>& flags) {
    const auto parsed = ParseEdgeSettings(flags, Variables({}), kFile);
    BOOST_TEST(parsed.errors.empty());
    return ConfigWatchInterval(parsed.settings).count();
  };
  BOOST_TEST(interval_for({}) == 500);
  BOOST_TEST(interval_for({"--config-bound-ms=6000"}) == 1500);
  BOOST_TEST(interval_for({"--config-bound-ms=400"}) == 500);
  BOOST_TEST(interval_for({"--config-pause-ms=2000"}) == 2000);
}

// The platform fills in whole numbers and fractions; with 6.5 s the program did
// not start.
BOOST_AUTO_TEST_CASE(times_may_be_fractions) {
  const auto parsed =
      ParseEdgeSettings({"--grace-s=6.5", "--drain-bound-ms=2500.5",
                         "--config-bound-ms=3e3", "--heartbeat-ms=1200.0"},
                        Variables({}), kFile);
  BOOST_TEST(parsed.errors.empty());
  BOOST_TEST(parsed.settings.grace.count() == 6500);
  BOOST_TEST(parsed.settings.drain_bound.count() == 2500);
  BOOST_TEST(parsed.settings.config_bound.count() == 3000);
  BOOST_TEST(parsed.settings.heartbeat.count() == 1200);
  for (const char* value : {"x", "6.5s", "nan", "inf", "-1", "1e99"}) {
    const auto bad = ParseEdgeSettings({std::string("--grace-s=") + value},
                                       Variables({}), kFile);
    BOOST_TEST(bad.errors.size() == 1U);
  }
}

BOOST_AUTO_TEST_CASE(an_unknown_flag_is_an_error) {
  const auto parsed = ParseEdgeSettings({"--domian=a"}, Variables({}), kFile);
  BOOST_TEST(!parsed.errors.empty());
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace sapphirestream
