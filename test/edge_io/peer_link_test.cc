// Guards against seeds that are configured in vain without a log line.
#include "sapphirestream/edge_io/peer_link.h"

#include <boost/test/unit_test.hpp>
#include <string>
#include <vector>

#include "testing/peer_network.h"

namespace sapphirestream {
namespace {

struct Fixture : LogSink {
  void Write(LogLevel /*level*/, const std::string& line) override {
    lines.push_back(line);
  }

  std::vector<std::string> lines;
  testing::ManualClock clock;
  EventLog log{*this, clock};
  boost::asio::io_context context{1};
  testing::FakeSampleStore store;
  testing::FakeStoreProgress store_progress;
  SeededRandom random{1};
  CounterSet counters;
};

BOOST_FIXTURE_TEST_SUITE(peer_link, Fixture)

BOOST_AUTO_TEST_CASE(a_seed_that_is_not_ipv4_is_logged) {
  const std::vector<Endpoint> seeds{*ParseEndpoint("127.0.0.2:7000"),
                                    *ParseEndpoint("[::1]:7000")};
  const std::vector<std::string> expected{
      "event=seed_ignored seed=[::1]:7000 reason=not_ipv4"};
  EdgeSettings settings;
  settings.peer = ParseEndpoint("127.0.0.1:0");
  settings.seeds = seeds;
  const auto link = PeerLink::Open(context, settings, store, store_progress,
                                   random, clock, log, counters);
  BOOST_REQUIRE(link);
  BOOST_TEST(lines == expected, boost::test_tools::per_element());
  lines.clear();
  (*link)->SetSeeds(seeds);
  BOOST_TEST(lines == expected, boost::test_tools::per_element());
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace sapphirestream
