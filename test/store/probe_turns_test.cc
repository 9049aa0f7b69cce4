// Guards against a reader that waits for ever for the success of another one,
// and against several probes at a time.
#include "sapphirestream/store/probe_turns.h"

#include <boost/test/unit_test.hpp>

namespace sapphirestream {
namespace {

struct Reader final : ProbeTurns::Reader {
  void OnTurn() override { ++turns; }
  int turns = 0;
};

// The first reader has the turn, the second one waits.
struct TwoReaders {
  TwoReaders() {
    BOOST_TEST(turns.Request(a));
    BOOST_TEST(!turns.Request(b));
  }

  ProbeTurns turns;
  Reader a;
  Reader b;
};

BOOST_AUTO_TEST_SUITE(probe_turns)

BOOST_AUTO_TEST_CASE(a_reader_alone_always_has_the_turn) {
  ProbeTurns turns;
  Reader a;
  BOOST_TEST(turns.Request(a));
  BOOST_TEST(turns.Request(a));
  BOOST_TEST(a.turns == 0);
}

BOOST_FIXTURE_TEST_CASE(a_failed_probe_passes_the_turn, TwoReaders) {
  BOOST_TEST(!turns.Request(b));
  BOOST_TEST(b.turns == 0);
  BOOST_TEST(!turns.Request(a));
  BOOST_TEST(b.turns == 1);
  BOOST_TEST(!turns.Request(b));
  BOOST_TEST(a.turns == 1);
}

BOOST_FIXTURE_TEST_CASE(a_reader_that_leaves_passes_the_turn, TwoReaders) {
  turns.Leave(a);
  BOOST_TEST(b.turns == 1);
  turns.Leave(a);
  BOOST_TEST(b.turns == 1);
  BOOST_TEST(!turns.Request(a));
  turns.Leave(b);
  BOOST_TEST(a.turns == 1);
}

BOOST_FIXTURE_TEST_CASE(a_waiting_reader_that_leaves_is_not_called,
                        TwoReaders) {
  turns.Leave(b);
  BOOST_TEST(turns.Request(a));
  BOOST_TEST(b.turns == 0);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace sapphirestream
