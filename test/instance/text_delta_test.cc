// Guards against a peer that adopts a wrong configuration because a delta was
// applied to another base or was corrupted, and against deltas whose size grows
// with the configuration instead of the change.
#include "sapphirestream/instance/text_delta.h"

#include <boost/test/unit_test.hpp>

#include "sapphirestream/base/random.h"

namespace sapphirestream {
namespace {

std::string MakeText(int objects, int changed) {
  std::string text =
      R"({"version":)" + std::to_string(changed) + R"(,"list":[)";
  for (int i = 0; i < objects; ++i) {
    text += R"({"id":)" + std::to_string(i) + R"(,"state":")" +
            (i == changed ? "new" : "old") + R"("},)";
  }
  return text + "]}";
}

struct Fixture {
  TextDelta format;
  std::string base = MakeText(500, -1);
  std::string next = MakeText(500, 250);
  std::string delta = format.Diff(base, next);
};

BOOST_FIXTURE_TEST_SUITE(text_delta, Fixture)

BOOST_AUTO_TEST_CASE(deltas_restore_the_next_text_and_are_small) {
  BOOST_TEST((format.Apply(base, delta) == next));
  BOOST_TEST(delta.size() < 150U);
  for (const auto& [from, to] : {std::pair<std::string, std::string>{"", "x"},
                                 {"x", ""},
                                 {"", ""},
                                 {base, base},
                                 {"no braces", next}}) {
    BOOST_TEST((format.Apply(from, format.Diff(from, to)) == to));
  }
}

BOOST_AUTO_TEST_CASE(another_base_is_rejected) {
  BOOST_TEST(!format.Apply(next, delta).has_value());
  BOOST_TEST(!format.Apply("", delta).has_value());
}

BOOST_AUTO_TEST_CASE(corrupted_deltas_never_yield_another_text) {
  SeededRandom random(1);
  for (std::size_t size = 0; size < delta.size(); ++size) {
    BOOST_TEST(!format.Apply(base, delta.substr(0, size)).has_value());
  }
  for (int i = 0; i < 2'000; ++i) {
    std::string corrupted = delta;
    corrupted[random.Below(corrupted.size())] =
        static_cast<char>(random.Below(256));
    const auto result = format.Apply(base, corrupted);
    BOOST_TEST((!result.has_value() || *result == next));
  }
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace sapphirestream
