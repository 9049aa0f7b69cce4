// Guards against flows that are not distributed by weight, and against an order
// of targets that differs between platforms.
#include "sapphirestream/edge/rendezvous.h"

#include <array>
#include <boost/test/unit_test.hpp>
#include <cmath>
#include <limits>
#include <vector>

#include "sapphirestream/base/hash.h"
#include "sapphirestream/base/id.h"

namespace sapphirestream {
namespace {

constexpr std::uint64_t kFlows = 60000;

std::uint64_t Preferred(std::uint64_t flow,
                        const std::vector<double>& weights) {
  std::uint64_t best = 1;
  for (std::uint64_t key = 2; key <= weights.size(); ++key) {
    if (RendezvousScore(flow, TargetKey{key}, weights[key - 1]) <
        RendezvousScore(flow, TargetKey{best}, weights[best - 1])) {
      best = key;
    }
  }
  return best;
}

BOOST_AUTO_TEST_SUITE(rendezvous)

BOOST_AUTO_TEST_CASE(the_logarithm_is_accurate_and_exact_at_the_ends) {
  BOOST_TEST(internal::NegativeLog2(0) == 0U);
  BOOST_TEST(internal::NegativeLog2(std::uint64_t{1} << 63U) ==
             std::uint64_t{1} << internal::kLogFractionBits);
  BOOST_TEST(internal::NegativeLog2(~std::uint64_t{0}) ==
             std::uint64_t{64} << internal::kLogFractionBits);
  for (std::uint64_t i = 0; i < 1000; ++i) {
    const std::uint64_t hash = HashPair(i, 1);
    const double exact =
        -std::log2(1 - std::ldexp(static_cast<double>(hash), -64));
    const double fixed =
        std::ldexp(static_cast<double>(internal::NegativeLog2(hash)),
                   -static_cast<int>(internal::kLogFractionBits));
    BOOST_TEST(std::abs(fixed - exact) < 3e-6);
  }
}

BOOST_AUTO_TEST_CASE(flows_are_distributed_by_weight) {
  const std::vector<double> weights{1, 1, 0.25, 1.75};
  std::array<double, 4> flows{};
  for (std::uint64_t flow = 0; flow < kFlows; ++flow) {
    ++flows.at(Preferred(flow, weights) - 1);
  }
  for (std::size_t i = 0; i < weights.size(); ++i) {
    BOOST_TEST(flows.at(i) == kFlows * weights[i] / 4,
               boost::test_tools::tolerance(0.04));
  }
}

BOOST_AUTO_TEST_CASE(a_lower_weight_moves_only_flows_of_its_target) {
  for (std::uint64_t flow = 0; flow < 5000; ++flow) {
    const std::uint64_t before = Preferred(flow, {1, 1, 1, 1});
    const std::uint64_t after = Preferred(flow, {1, 0.5, 1, 1});
    BOOST_TEST((before == after || before == 2));
  }
}

// During an update of the instances, copies of an opening packet may be placed
// by either version.
BOOST_AUTO_TEST_CASE(equal_weights_give_the_order_of_the_plain_hash) {
  for (std::uint64_t flow = 0; flow < 1000; ++flow) {
    std::uint64_t best = 1;
    for (std::uint64_t key = 2; key <= 30; ++key) {
      if (HashPair(flow, key) < HashPair(flow, best)) best = key;
    }
    BOOST_TEST(Preferred(flow, std::vector<double>(30, 1.0)) == best);
  }
}

// The expected keys were computed by another implementation, with
// floating-point logarithms.
BOOST_AUTO_TEST_CASE(the_order_is_fixed) {
  const std::vector<double> weights{0.7, 1.3, 1, 0.1, 2.5, 1, 1, 0.9};
  constexpr std::array<std::uint64_t, 8> expected{5, 2, 5, 5, 5, 5, 6, 2};
  for (std::uint64_t flow = 0; flow < expected.size(); ++flow) {
    BOOST_TEST(Preferred(flow, weights) == expected.at(flow));
  }
}

BOOST_AUTO_TEST_CASE(false_weights_are_clamped) {
  const double nan = std::numeric_limits<double>::quiet_NaN();
  const double infinite = std::numeric_limits<double>::infinity();
  std::array<std::uint64_t, 4> flows{};
  for (std::uint64_t flow = 0; flow < kFlows; ++flow) {
    ++flows.at(Preferred(flow, {nan, -1, 0, infinite}) - 1);
  }
  for (const std::uint64_t count : flows) BOOST_TEST(count > 0U);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace sapphirestream
