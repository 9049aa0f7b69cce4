// Guards against a part of a response that hides the others, whatever its
// bytes.
#include "platform/json_splitter.h"

#include <boost/test/unit_test.hpp>
#include <string>

#include "sapphirestream/base/random.h"

namespace sapphirestream::platform {
namespace {

BOOST_AUTO_TEST_SUITE(json_splitter)

BOOST_AUTO_TEST_CASE(an_object_is_split_into_its_members) {
  const auto members =
      SplitObject(R"( {"a" : 1,"b":[1,{"c":"]}"}] , "d":"x,\"y", "e":{}} )");
  BOOST_REQUIRE(members.has_value());
  BOOST_REQUIRE(members->size() == 4U);
  BOOST_TEST(FindMember(*members, "a") == "1");
  BOOST_TEST(FindMember(*members, "b") == R"([1,{"c":"]}"}])");
  BOOST_TEST(FindMember(*members, "d") == R"("x,\"y")");
  BOOST_TEST(FindMember(*members, "e") == "{}");
  BOOST_TEST(FindMember(*members, "f").empty());
}

BOOST_AUTO_TEST_CASE(an_array_is_split_into_its_values) {
  const auto values = SplitArray(R"([1, "a]", [2,[3]], {"b":4}, null])");
  BOOST_REQUIRE(values.has_value());
  BOOST_REQUIRE(values->size() == 5U);
  BOOST_TEST(values->at(1) == R"("a]")");
  BOOST_TEST(values->at(3) == R"({"b":4})");
  BOOST_TEST(SplitArray("[]")->empty());
  BOOST_TEST(SplitObject("{}")->empty());
}

BOOST_AUTO_TEST_CASE(parts_may_have_any_bytes_and_depth) {
  const std::string deep =
      std::string(100'000, '[') + std::string(100'000, ']');
  const std::string odd = "\"\xff\xfe \\udcff \\\\\"";
  const std::string text = "[" + deep + "," + odd + ",7]";
  const auto values = SplitArray(text);
  BOOST_REQUIRE(values.has_value());
  BOOST_REQUIRE(values->size() == 3U);
  BOOST_TEST((values->at(0) == deep));
  BOOST_TEST(values->at(1) == odd);
  BOOST_TEST(values->at(2) == "7");
}

BOOST_AUTO_TEST_CASE(a_text_that_ends_early_is_rejected) {
  const std::string whole = R"({"a":[1,{"b":"\"c\\"}],"d":2})";
  for (std::size_t size = 0; size < whole.size(); ++size) {
    BOOST_TEST(!SplitObject(whole.substr(0, size)).has_value());
  }
  for (const char* text : {"{\"a\"}", "{\"a\":}", "{\"a\":1,}", "{\"a\":1}x",
                           "[1]", "7", "", "{a:1}", "{\"a\":\"\\"}) {
    BOOST_TEST(!SplitObject(text).has_value());
  }
  for (const char* text : {"[1,]", "[,1]", "[1]]", "[1 2]", "{}", ""}) {
    BOOST_TEST(!SplitArray(text).has_value());
  }
}

BOOST_AUTO_TEST_CASE(any_text_is_split_or_rejected) {
  SeededRandom random(5);
  constexpr std::string_view characters = "{}[]\":,\\ a1\xff";
  for (int i = 0; i < 50'000; ++i) {
    std::string text = i % 2 == 0 ? "{" : "[";
    for (int n = 0; n < 20; ++n) {
      text += characters[random.Below(characters.size())];
    }
    (void)SplitObject(text);
    (void)SplitArray(text);
  }
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace sapphirestream::platform
