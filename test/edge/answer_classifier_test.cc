// Guards against failed answers taken for normal ones, and the reverse.
#include "sapphirestream/edge/answer_classifier.h"

#include <boost/test/unit_test.hpp>
#include <cstdint>

#include "sapphirestream/base/random.h"

namespace sapphirestream {
namespace {

using namespace std::chrono_literals;

struct Fixture {
  std::uint32_t Between(std::uint32_t low, std::uint32_t high) {
    return low + static_cast<std::uint32_t>(random.Below(high - low));
  }
  bool Normal(std::uint32_t low, std::uint32_t high, int slowdown = 1) {
    return judge.IsFailure(Between(low, high),
                           slowdown * Between(15'000, 25'000) * 1us);
  }
  bool Failed() {
    return judge.IsFailure(Between(150, 250), Between(3000, 5000) * 1us);
  }

  SeededRandom random{11};
  AnswerClassifier judge;
};

BOOST_FIXTURE_TEST_SUITE(answer_classifier, Fixture)

BOOST_AUTO_TEST_CASE(the_first_answers_are_not_judged) {
  Normal(750, 800);
  for (std::uint32_t i = 1; i < AnswerClassifier::kMinAnswers; ++i) {
    BOOST_TEST(!Failed());
  }
}

BOOST_AUTO_TEST_CASE(failures_are_found_if_most_answers_fail_from_the_start) {
  int found = 0;
  for (int i = 0; i < 1000; ++i) {
    if (i % 10 < 6) {
      found += Failed() ? 1 : 0;
    } else {
      BOOST_TEST(!Normal(750, 800));
    }
  }
  BOOST_TEST(found > 560);
}

BOOST_AUTO_TEST_CASE(slow_targets_do_not_make_others_look_failed) {
  int failures = 0;
  for (int i = 0; i < 1000; ++i) {
    failures += Normal(400, 2500, i % 4 == 0 ? 5 : 1) ? 1 : 0;
  }
  BOOST_TEST(failures <= 5);
}

BOOST_AUTO_TEST_CASE(short_answers_are_normal_if_they_take_long) {
  for (int i = 0; i < 100; ++i) Normal(20'000, 200'000);
  for (int i = 0; i < 100; ++i) BOOST_TEST(!Normal(150, 250));
}

BOOST_AUTO_TEST_CASE(failures_end_when_all_answers_stay_short_and_fast) {
  for (int i = 0; i < 100; ++i) Normal(750, 800);
  BOOST_TEST(Failed());
  for (int i = 0; i < 300; ++i) Failed();
  for (int i = 0; i < 100; ++i) BOOST_TEST(!Failed());
  for (int i = 0; i < 100; ++i) Normal(750, 800);
  BOOST_TEST(Failed());
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace sapphirestream
