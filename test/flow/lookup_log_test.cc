// Guards against established flows that get a guessed target while an instance
// with their record still answers, and against lookups that never end.
#include "sapphirestream/flow/lookup_log.h"

#include <boost/test/unit_test.hpp>

namespace sapphirestream {
namespace {

using namespace std::chrono_literals;

struct Fixture {
  std::size_t Lookup(std::uint32_t sequence, Duration delay) {
    now += delay;
    return log.CountUnanswered(hash, sequence, now);
  }
  LookupLog log;
  std::uint64_t hash = 0x1234567;
  TimePoint now{1000s};
};

BOOST_FIXTURE_TEST_SUITE(lookup_log, Fixture)

// A flow was sent to a wrong target when member views differed for 0.6 s (seen
// in policy_table).
BOOST_AUTO_TEST_CASE(packets_within_a_second_belong_to_one_lookup) {
  BOOST_TEST(Lookup(1, 0ms) == 0U);
  BOOST_TEST(Lookup(1, 200ms) == 0U);
  BOOST_TEST(Lookup(1, 400ms) == 0U);
  BOOST_TEST(Lookup(1, 800ms) == 1U);
  BOOST_TEST(Lookup(1, 1600ms) == 2U);
}

// A new sequence number shows that the previous bytes were answered.
BOOST_AUTO_TEST_CASE(a_new_sequence_number_starts_a_new_lookup) {
  for (std::uint32_t sequence = 1; sequence <= 5; ++sequence) {
    BOOST_TEST(Lookup(sequence, 1500ms) == 0U);
  }
}

BOOST_AUTO_TEST_CASE(an_old_lookup_expires) {
  BOOST_TEST(Lookup(1, 0ms) == 0U);
  BOOST_TEST(Lookup(1, 1s) == 1U);
  BOOST_TEST(Lookup(1, 10s) == 0U);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace sapphirestream
