// Guards against a view of the store that counts as younger than it is because
// the clock of another instance was misread.
#include "sapphirestream/edge/peer_clock.h"

#include <boost/test/unit_test.hpp>

namespace sapphirestream {
namespace {

using namespace std::chrono_literals;

constexpr TimePoint kStart{1000s};
// Wraps around soon.
constexpr std::uint32_t kOrigin = 0xffff'ff00;

BOOST_AUTO_TEST_SUITE(peer_clock)

BOOST_AUTO_TEST_CASE(a_converted_time_is_never_later) {
  const PeerClock clock(kOrigin, kStart);
  for (const Duration elapsed :
       {Duration(0us), Duration(1'999us), Duration(255'500us), Duration(9s)}) {
    const TimePoint time = kStart + 2ms + elapsed;
    const TimePoint now = time + 700us;
    const auto converted = clock.FromPeerTime(clock.ToPeerTime(time), now);
    BOOST_REQUIRE(converted);
    BOOST_TEST((*converted <= time));
    BOOST_TEST((*converted > time - 3ms));
  }
}

BOOST_AUTO_TEST_CASE(a_time_that_is_out_of_range_is_not_converted) {
  const PeerClock clock(kOrigin, kStart);
  const TimePoint now = kStart + 60s;
  BOOST_TEST(!clock.FromPeerTime(clock.ToPeerTime(now + 1s), now));
  BOOST_TEST(!clock.FromPeerTime(
      clock.ToPeerTime(now - PeerClock::kMaxAge - 1s), now));
  BOOST_TEST(!clock.FromPeerTime(clock.ToPeerTime(kStart - 1s), kStart + 2s));
}

// The times of a former process come from a clock with another origin.
BOOST_AUTO_TEST_CASE(a_time_of_a_former_process_is_not_converted) {
  const PeerClock former(kOrigin, kStart);
  const PeerClock restarted(kOrigin + 0x4000'0000, kStart);
  const TimePoint now = kStart + 60s;
  BOOST_TEST(!restarted.FromPeerTime(former.ToPeerTime(now), now));
}

// A delayed message must not make a read seem later than it was.
BOOST_AUTO_TEST_CASE(a_delayed_message_gives_an_earlier_time) {
  const PeerClock peer(kOrigin, kStart);
  const TimePoint sent = kStart + 5s;
  const TimePoint read = sent + 2s;
  for (const Duration delay : {Duration(0ms), Duration(300ms), Duration(3s)}) {
    const PeerClockReading reading{peer.ToPeerTime(sent), sent + delay};
    const auto converted = peer.FromPeerTime(reading.At(read), sent + 4s);
    BOOST_REQUIRE(converted);
    BOOST_TEST((*converted <= read));
    BOOST_TEST((*converted > read - delay - 3ms));
  }
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace sapphirestream
