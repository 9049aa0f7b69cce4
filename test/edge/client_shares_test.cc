// Guards against clients that crowd out others, and against limits on clients
// that do not.
#include "sapphirestream/edge/client_shares.h"

#include <boost/test/unit_test.hpp>

namespace sapphirestream {
namespace {

using namespace std::chrono_literals;

BOOST_AUTO_TEST_SUITE(client_shares)

BOOST_AUTO_TEST_CASE(only_the_client_with_far_more_openings_is_limited) {
  ClientShares shares;
  TimePoint now{1000s};
  double greedy = 1;
  for (std::uint32_t i = 0; i < 100; ++i) {
    now += 1ms;
    BOOST_TEST(shares.OnOpening(1000 + i, now) == 1);
    greedy = shares.OnOpening(1, now);
  }
  BOOST_TEST(greedy < 0.1);
  BOOST_TEST(greedy > 0);
}

BOOST_AUTO_TEST_CASE(three_attempts_are_never_limited) {
  ClientShares shares;
  for (std::uint32_t client = 0; client < 50; ++client) {
    shares.OnOpening(100 + client, TimePoint{1000s});
  }
  for (int attempt = 0; attempt < 3; ++attempt) {
    BOOST_TEST(shares.OnOpening(1, TimePoint{1000s}) == 1);
  }
}

BOOST_AUTO_TEST_CASE(openings_are_forgotten) {
  ClientShares shares;
  for (std::uint32_t i = 0; i < 100; ++i) {
    shares.OnOpening(1, TimePoint{1000s});
    shares.OnOpening(100 + i, TimePoint{1000s});
  }
  BOOST_TEST(shares.OnOpening(1, TimePoint{1002s}) == 1);
}

// More clients than entries.
BOOST_AUTO_TEST_CASE(a_greedy_client_is_found_among_many) {
  ClientShares shares;
  double greedy = 1;
  for (std::uint32_t i = 0; i < 5000; ++i) {
    shares.OnOpening(1000 + i, TimePoint{1000s});
    if (i % 10 == 0) greedy = shares.OnOpening(1, TimePoint{1000s});
  }
  BOOST_TEST(greedy < 0.5);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace sapphirestream
