// Guards against tokens that identify no target, or more than one.
#include "sapphirestream/edge/flow_token.h"

#include <boost/test/unit_test.hpp>
#include <unordered_map>

#include "sapphirestream/base/random.h"

namespace sapphirestream {
namespace {

BOOST_AUTO_TEST_SUITE(flow_token)

// The platform's keys have ten hexadecimal digits.
constexpr std::uint64_t kKeyMask = (1ULL << 40U) - 1;

BOOST_AUTO_TEST_CASE(each_of_120000_targets_has_a_unique_token) {
  constexpr int targets = 120'000;
  SeededRandom random(7);
  std::unordered_map<FlowToken, int> owners;
  std::vector<TargetKey> keys;
  for (int i = 0; i < targets; ++i) {
    keys.push_back(TargetKey{random.Next() & kKeyMask});
    for (unsigned v = 0; v < kTokensPerTarget; ++v) {
      const FlowToken token = MakeToken(keys.back(), v);
      BOOST_REQUIRE(token != kNoToken);
      ++owners[token];
    }
  }
  int without_unique = 0;
  for (const TargetKey key : keys) {
    bool has_unique = false;
    for (unsigned v = 0; v < kTokensPerTarget; ++v) {
      has_unique |= owners[MakeToken(key, v)] == 1;
    }
    if (!has_unique) ++without_unique;
  }
  BOOST_TEST(without_unique == 0);
}

// Instances of different releases must agree on tokens.
BOOST_AUTO_TEST_CASE(values_do_not_change_between_releases) {
  BOOST_TEST(Value(MakeToken(TargetKey{0x9fa5c0467dULL}, 0)) == 2323502705U);
  BOOST_TEST(Value(MakeToken(TargetKey{0x9fa5c0467dULL}, 1)) == 2662613940U);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace sapphirestream
