// Guards against baselines that deviate from their definition, which would
// distort every comparison with them.
#include <boost/test/unit_test.hpp>

#include "sapphirestream/target/hash_placer.h"
#include "sapphirestream/target/two_choice_placer.h"

namespace sapphirestream {
namespace {

BOOST_AUTO_TEST_SUITE(baseline_placer)

BOOST_AUTO_TEST_CASE(hash_placer_ignores_load) {
  HashPlacer placer;
  for (std::uint64_t hash = 0; hash < 9; ++hash) {
    const auto placement = placer.Place({hash, TargetId{3}}, {});
    BOOST_TEST((placement.target == TargetId{3}));
  }
  placer.End(TargetId{3}, {});
  BOOST_TEST((placer.OwnCounts().front() == PlacementCount{TargetId{3}, 8}));
  BOOST_TEST((placer.Place({}, {}).kind == PlacementKind::kRefused));
}

BOOST_AUTO_TEST_CASE(two_choice_placer_prefers_the_less_loaded) {
  Service service;
  for (std::uint32_t i = 1; i <= 8; ++i) {
    service.targets.emplace_back().id = TargetId{i};
  }
  TwoChoicePlacer placer(service);
  placer.Report({TargetId{1}, 0, 1000, false, {}}, {});
  std::size_t on_loaded = 0;
  for (std::uint64_t hash = 0; hash < 400; ++hash) {
    const auto placement = placer.Place({hash, TargetId{1}}, {});
    if (placement.target == TargetId{1}) ++on_loaded;
  }
  // Both choices are target 1 for one flow in eight.
  BOOST_TEST(on_loaded < 80U);
  BOOST_TEST(placer.OwnCounts().size() == 8U);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace sapphirestream
