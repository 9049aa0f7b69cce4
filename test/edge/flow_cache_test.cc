// Guards against a cache that exceeds its capacity or confuses flows.
#include "sapphirestream/edge/flow_cache.h"

#include <boost/test/unit_test.hpp>

#include "test/edge/sample.h"

namespace sapphirestream {
namespace {

using namespace std::chrono_literals;

BOOST_AUTO_TEST_SUITE(flow_cache)

BOOST_AUTO_TEST_CASE(the_least_recently_seen_flow_is_evicted) {
  FlowCache flows(8);
  BOOST_TEST(flows.capacity() == 8U);
  CachedFlow evicted;
  for (std::uint32_t i = 0; i < 8; ++i) {
    CachedFlow& flow = flows.Emplace(sample::Client(i), sample::kFeed, evicted);
    BOOST_TEST((evicted.phase == FlowPhase::kNone));
    flow.phase = FlowPhase::kOpen;
    flow.last_seen = TimePoint(1000s) + i * 1s;
  }
  flows.Emplace(sample::Client(8), sample::kFeed, evicted).phase =
      FlowPhase::kOpen;
  BOOST_TEST((evicted.client == sample::Client(0)));
  BOOST_TEST(flows.Find(sample::Client(0), sample::kFeed) == nullptr);
  BOOST_TEST(flows.Find(sample::Client(1), sample::kFeed) != nullptr);
}

BOOST_AUTO_TEST_CASE(flows_are_distinguished_by_both_endpoints) {
  FlowCache flows(64);
  CachedFlow evicted;
  flows.Emplace(sample::Client(1), sample::kFeed, evicted).phase =
      FlowPhase::kOpen;
  BOOST_TEST(flows.Find(sample::Client(1), sample::kOrders) == nullptr);
  BOOST_TEST(flows.Find(sample::Client(2), sample::kFeed) == nullptr);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace sapphirestream
