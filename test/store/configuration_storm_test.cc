// Guards against configurations that are in force too late because an instance
// has a slow link, and against excessive calls for them.
#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <chrono>

#include "test/store/storm_fixture.h"

namespace sapphirestream {
namespace {

using namespace std::chrono_literals;

// The phase of the checks at which the storm begins.
Duration LongestTime(StormOptions options) {
  Duration longest{};
  for (std::uint64_t seed = 1; seed <= 20; ++seed) {
    options.lead = 7s + (seed - 1) * 210ms;
    const StormResult result = PlayStorm(options, seed);
    longest = std::max(longest, result.in_force);
  }
  return longest;
}

BOOST_AUTO_TEST_SUITE(configuration_storm)

// 26 configurations of 275 KB in 2 s were in force after 10 to 17 s.
BOOST_AUTO_TEST_CASE(a_storm_over_a_slow_link_is_in_force_within_the_bound) {
  const StormOptions options;
  BOOST_TEST((LongestTime(options) < options.max_age));
}

BOOST_AUTO_TEST_CASE(so_is_one_of_configurations_of_500_KB) {
  StormOptions options;
  options.config_bytes = 500'000;
  BOOST_TEST((LongestTime(options) < options.max_age));
}

BOOST_AUTO_TEST_CASE(so_is_one_behind_a_lagging_cache) {
  StormOptions options;
  options.cache_lag = 3s;
  BOOST_TEST((LongestTime(options) < options.max_age));
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace sapphirestream
