// Guards against observations of a dead, hung, partitioned, restarted or lying
// instance that affect others for longer than allowed, against instances that
// do not find each other, and against traffic above the budget.
#include "sapphirestream/edge/peer_exchange.h"

#include <boost/test/unit_test.hpp>

#include "testing/peer_network.h"

namespace sapphirestream {
namespace {

using namespace std::chrono_literals;
using testing::PeerAddress;
using testing::PeerNetwork;
using testing::Samples;

struct Fixture {
  // Starts instances 0 to `size` - 1 within 0.3 s.
  void StartAll(std::size_t size, std::size_t domains = 1) {
    for (std::size_t i = 0; i < size; ++i) {
      ids.push_back(network.Start(
          i, std::string(1, static_cast<char>('a' + i % domains)), seeds));
      if (i % (size / 30 + 1) == 0) network.Run(10ms);
    }
  }
  // Restarts an instance that has lost nothing but its state.
  PeerId Restart(std::size_t number) {
    return network.Start(number, "a", seeds);
  }
  // Whether `number` has counts of `peer`.
  bool Hears(std::size_t number, PeerId peer) {
    return network.At(number).store.of_peer.contains(peer);
  }
  std::uint32_t Outstanding(std::size_t number, PeerId peer) {
    const auto& of_peer = network.At(number).store.of_peer;
    const auto it = of_peer.find(peer);
    if (it == of_peer.end() || it->second.empty()) return 0;
    return it->second.begin()->second.outstanding;
  }
  std::uint64_t Rejected(std::size_t number, PeerRejection reason) {
    return PeerNetwork::Rejected(network.At(number).counters, reason);
  }
  void Deliver(std::size_t from, std::size_t to,
               std::span<const std::byte> bytes) {
    network.At(to).exchange->OnDatagram(PeerAddress(from), bytes, 0ms,
                                        network.clock.Now());
  }

  PeerNetwork network{20261206};
  std::vector<V4Endpoint> seeds{PeerAddress(0), PeerAddress(1), PeerAddress(2)};
  std::vector<PeerId> ids;
};

BOOST_FIXTURE_TEST_SUITE(peer_exchange, Fixture)

BOOST_AUTO_TEST_CASE(samples_reach_all_peers_once_despite_repetition) {
  StartAll(5);
  network.Run(2s);
  network.At(3).store.own = {Samples(1, 4, 2)};
  network.Run(3s);
  for (const std::size_t i : {0U, 1U, 2U, 4U}) {
    BOOST_TEST(network.At(i).store.received_requests == 4U);
    BOOST_TEST(Outstanding(i, ids[3]) == 2U);
  }
  BOOST_TEST(network.At(3).store.of_peer.size() == 4U);
}

BOOST_AUTO_TEST_CASE(most_of_76_instances_are_known_after_a_second) {
  network.loss = 0.01;
  StartAll(76);
  network.Run(1s);
  std::size_t known = 0;
  std::size_t neighbors = 0;
  for (const auto& [address, node] : network.nodes) {
    known += node->exchange->known_peers();
    neighbors += node->exchange->neighbors();
  }
  BOOST_TEST(known > 76U * 75 / 2);
  BOOST_TEST(neighbors > 76U * PeerDirectory::kMaxNeighbors * 3 / 4);
}

BOOST_AUTO_TEST_CASE(domains_find_their_peers_through_seeds_of_another_one) {
  network.loss = 0.01;
  // The only live seed is in domain a.
  seeds = {PeerAddress(0), PeerAddress(901), PeerAddress(902)};
  StartAll(30, 3);
  network.Run(4s);
  for (std::size_t i = 0; i < 30; ++i) {
    BOOST_TEST(network.At(i).exchange->neighbors() == 9U);
    BOOST_TEST(Rejected(i, PeerRejection::kOtherDomain) == 0U);
  }
}

BOOST_AUTO_TEST_CASE(the_traffic_stays_below_the_budget) {
  for (const std::size_t size : {9U, 76U}) {
    network.nodes.clear();
    StartAll(size);
    network.Run(3s);
    std::map<std::uint32_t, double> before;
    for (const auto& [address, node] : network.nodes) {
      before[address] = PeerNetwork::Bytes(node->counters);
    }
    // Six times the usual number of requests.
    for (int i = 0; i < 50; ++i) {
      for (auto& [address, node] : network.nodes) {
        node->store.own.clear();
        for (std::uint64_t key = 1; key <= 12; ++key) {
          node->store.own.push_back(
              Samples(network.random.Below(10) + key * 10, 1, 1));
        }
      }
      network.Run(100ms);
    }
    for (const auto& [address, node] : network.nodes) {
      const double bytes = PeerNetwork::Bytes(node->counters) - before[address];
      BOOST_TEST(bytes / 5 < (size == 9 ? 9'000 : 26'000));
    }
  }
}

BOOST_AUTO_TEST_CASE(the_counts_of_a_dead_instance_expire) {
  StartAll(5);
  network.Run(1s);
  network.At(3).store.own = {Samples(1, 4, 2)};
  network.Run(1s);
  network.Stop(3);
  network.Run(PeerDirectory::kSilenceTimeout + 200ms);
  BOOST_TEST(!Hears(0, ids[3]));
  BOOST_TEST(Hears(0, ids[4]));
}

// A loss in the network must not look like a dead instance.
BOOST_AUTO_TEST_CASE(an_idle_peer_is_not_lost_when_two_messages_are) {
  StartAll(10);
  network.Run(3s);
  for (int i = 0; i < 10; ++i) {
    network.loss = 1;
    network.Run(2 * PeerExchange::kMaxSendInterval - 10ms);
    network.loss = 0;
    network.Run(700ms);
    for (const auto& [address, node] : network.nodes) {
      BOOST_TEST(node->store.erased.empty());
    }
  }
}

// The messages that were queued in its socket show a state that is long past.
BOOST_AUTO_TEST_CASE(an_instance_that_wakes_ignores_what_was_queued) {
  StartAll(5);
  network.Run(2s);
  network.At(3).hung = true;
  network.Run(200ms);
  network.Stop(4);
  network.Run(2800ms);
  BOOST_TEST(!Hears(0, ids[3]));
  const auto received = network.At(3).store.received_requests;
  network.At(3).store.own = {Samples(1, 9, 2)};
  network.At(3).hung = false;
  network.Run(20ms);
  BOOST_TEST(Rejected(3, PeerRejection::kStale) > 0U);
  BOOST_TEST(network.At(3).store.received_requests == received);
  network.Run(1s);
  BOOST_TEST(!Hears(3, ids[4]));
  BOOST_TEST(Hears(3, ids[0]));
  // Requests seemed to last as long as the pause: the sums are dropped; the
  // counts of outstanding requests are valid.
  BOOST_TEST(Outstanding(0, ids[3]) == 2U);
  BOOST_TEST(network.At(0).store.received_requests == 0U);
}

BOOST_AUTO_TEST_CASE(a_restart_discards_the_counts_of_the_former_process) {
  StartAll(5);
  network.Run(1s);
  network.At(3).store.own = {Samples(1, 4, 2)};
  network.Run(1s);
  const PeerId restarted = Restart(3);
  network.Run(1s);
  BOOST_TEST(!Hears(0, ids[3]));
  BOOST_TEST(Hears(0, restarted));
}

BOOST_AUTO_TEST_CASE(both_sides_of_a_partition_go_on_and_meet_again) {
  StartAll(10);
  network.Run(2s);
  for (std::size_t i = 5; i < 10; ++i) network.At(i).side = 1;
  network.Run(20s);
  BOOST_TEST(network.At(0).exchange->neighbors() == 4U);
  BOOST_TEST(network.At(9).exchange->neighbors() == 4U);
  for (std::size_t i = 5; i < 10; ++i) network.At(i).side = 0;
  network.Run(PeerDirectory::kMaxContactDelay);
  for (std::size_t i = 0; i < 10; ++i) {
    BOOST_TEST(network.At(i).exchange->neighbors() == 9U);
  }
}

// The parts have forgotten each other; only the seeds can connect them.
BOOST_AUTO_TEST_CASE(the_parts_of_a_long_partition_meet_through_a_seed) {
  StartAll(10);
  network.Run(2s);
  for (std::size_t i = 5; i < 10; ++i) network.At(i).side = 1;
  // A seed mentions an instance until its last introduction is too old.
  network.Run(PeerIntroductions::kMaxAge + PeerDirectory::kForgetAfter);
  BOOST_TEST(network.At(0).exchange->known_peers() == 4U);
  for (std::size_t i = 5; i < 10; ++i) network.At(i).side = 0;
  network.Run(3 * PeerSeeds::kMaxDelay);
  for (std::size_t i = 0; i < 10; ++i) {
    BOOST_TEST(network.At(i).exchange->neighbors() == 9U);
  }
}

BOOST_AUTO_TEST_CASE(an_instance_finds_peers_after_all_seeds_were_down) {
  StartAll(5);
  network.Run(1s);
  for (std::size_t i = 0; i < 3; ++i) network.Stop(i);
  network.Start(7, "a", seeds);
  network.Run(30s);
  BOOST_TEST(network.At(7).exchange->neighbors() == 0U);
  BOOST_TEST(network.At(4).exchange->neighbors() == 1U);
  Restart(1);
  network.Run(3 * PeerSeeds::kMaxDelay);
  BOOST_TEST(network.At(7).exchange->neighbors() == 3U);
}

BOOST_AUTO_TEST_CASE(a_message_that_is_lost_does_not_leave_a_wrong_count) {
  StartAll(3);
  network.Run(1s);
  network.At(2).store.own = {Samples(1, 1, 1)};
  network.Run(1s);
  BOOST_TEST(Outstanding(0, ids[2]) == 1U);
  network.At(2).store.own = {Samples(1, 1, 0)};
  network.loss = 1;
  network.Run(400ms);
  network.loss = 0;
  network.Run(1s);
  BOOST_TEST(Outstanding(0, ids[2]) == 0U);
}

BOOST_AUTO_TEST_CASE(false_samples_are_limited) {
  StartAll(3);
  network.Run(1s);
  TargetSamples wrong = Samples(1, 0xffffffff, 0xffffffff);
  wrong.relative_time_permille = 0xffffffffffffffff;
  Deliver(2, 0,
          EncodeEdgePeerMessage({ids[2], HashOfDomain("a"),
                                 PeerSamples{1'000'000, {wrong}, {}, {}, {}}}));
  const auto& entry = network.At(0).store.of_peer.at(ids[2]).begin()->second;
  BOOST_TEST(entry.count == PeerExchange::kMaxRequests);
  BOOST_TEST(entry.outstanding == PeerExchange::kMaxRequests);
  BOOST_TEST(entry.relative_time_permille ==
             PeerExchange::kMaxRequests *
                 PeerExchange::kMaxRelativeTimePermille);
}

BOOST_AUTO_TEST_CASE(a_flood_of_samples_is_limited) {
  StartAll(3);
  network.Run(1s);
  const std::uint64_t before = network.At(0).store.received_requests;
  for (std::uint32_t i = 0; i < 1000; ++i) {
    Deliver(2, 0,
            EncodeEdgePeerMessage(
                {ids[2], HashOfDomain("a"),
                 PeerSamples{1000 + i, {Samples(1, 1)}, {}, {}, {}}}));
  }
  BOOST_TEST(network.At(0).store.received_requests - before <=
             PeerExchange::kMaxMessagesPerSecond);
}

BOOST_AUTO_TEST_CASE(false_addresses_do_not_spread_or_displace_peers) {
  StartAll(5);
  network.Run(2s);
  for (std::size_t round = 0; round < 100; ++round) {
    PeerAddresses wrong;
    for (std::size_t i = 0; i < kMaxPeerAddresses; ++i) {
      wrong.addresses.push_back(PeerAddress(1000 + 16 * round + i));
    }
    Deliver(2, 0, EncodeEdgePeerMessage({ids[2], HashOfDomain("a"), wrong}));
    network.Run(10ms);
  }
  network.Run(2s);
  BOOST_TEST(network.At(0).exchange->neighbors() == 4U);
  BOOST_TEST(network.At(0).exchange->known_peers() <= PeerDirectory::kMaxPeers);
  BOOST_TEST(network.At(1).exchange->known_peers() == 4U);
}

BOOST_AUTO_TEST_CASE(messages_that_must_be_ignored_are_counted_by_reason) {
  StartAll(3);
  network.Run(1s);
  const auto samples = [](PeerId id, std::string_view domain) {
    return EncodeEdgePeerMessage(
        {id, HashOfDomain(domain), PeerSamples{9, {}, {}, {}, {}}});
  };
  Deliver(8, 0, samples(PeerId{5}, "b"));
  Deliver(8, 0, samples(ids[0], "a"));
  Deliver(1, 0, samples(ids[1], "a"));
  Deliver(1, 0, samples(ids[1], "a"));
  auto other_version = samples(PeerId{5}, "a");
  other_version[2] = std::byte{9};
  Deliver(8, 0, other_version);
  Deliver(8, 0, {});
  BOOST_TEST(Rejected(0, PeerRejection::kOtherDomain) == 1U);
  BOOST_TEST(Rejected(0, PeerRejection::kOwn) == 1U);
  BOOST_TEST(Rejected(0, PeerRejection::kReordered) == 1U);
  BOOST_TEST(Rejected(0, PeerRejection::kOtherVersion) == 1U);
  BOOST_TEST(Rejected(0, PeerRejection::kMalformed) == 1U);
  BOOST_TEST(!Hears(0, PeerId{5}));
}

// A seed that many instances ask at the same time serves its neighbors and goes
// on answering: otherwise the others would go on asking.
BOOST_AUTO_TEST_CASE(a_flood_of_introductions_is_answered_within_the_budget) {
  StartAll(3);
  network.Run(1s);
  const auto sent = [this] {
    for (const auto& [name, value] : network.At(0).counters.Read()) {
      if (name == "peer_sent_bytes_total") return value;
    }
    return std::uint64_t{0};
  };
  std::uint64_t before = 0;
  for (std::uint64_t i = 0; i < 4000; ++i) {
    // After two seconds the burst is over.
    if (i == 2000) before = sent();
    Deliver(1000 + i, 0,
            EncodeEdgePeerMessage(
                {PeerId{1000 + i}, HashOfDomain("b"), PeerIntroduction{16}}));
    if (i % 10 == 0) network.Run(10ms);
  }
  BOOST_TEST(Rejected(0, PeerRejection::kOverload) > 0U);
  BOOST_TEST(sent() - before > IntroductionBudget::kRate * 2 * 3 / 4);
  BOOST_TEST(sent() - before < IntroductionBudget::kRate * 2 + 4'000);
  BOOST_TEST(network.At(0).exchange->neighbors() == 2U);
}

// Each instance read the store itself, although others had just done so.
BOOST_AUTO_TEST_CASE(a_read_of_the_store_reaches_all_neighbors_at_once) {
  StartAll(5);
  network.Run(2s);
  const RevisionTime read{network.clock.Now(), {StoreEra{1}, 42}};
  network.At(3).store_progress.latest = read;
  network.At(3).exchange->OnStoreRead(network.clock.Now());
  network.Run(20ms);
  for (const std::size_t i : {0U, 1U, 2U, 4U}) {
    const auto latest = network.At(i).store_progress.latest;
    BOOST_REQUIRE(latest);
    BOOST_TEST((latest->revision == read.revision));
    BOOST_TEST((latest->time <= read.time));
    BOOST_TEST((latest->time > read.time - 20ms));
  }
}

BOOST_AUTO_TEST_CASE(a_read_that_is_repeated_counts_from_its_time) {
  network.loss = 0.5;
  StartAll(5);
  network.Run(2s);
  const RevisionTime read{network.clock.Now(), {StoreEra{1}, 42}};
  network.At(3).store_progress.latest = read;
  network.Run(3s);
  for (const std::size_t i : {0U, 1U, 2U, 4U}) {
    const auto latest = network.At(i).store_progress.latest;
    BOOST_REQUIRE(latest);
    BOOST_TEST((latest->time <= read.time));
  }
}

// Revisions of two stores cannot be compared.
BOOST_AUTO_TEST_CASE(reads_of_another_store_are_ignored) {
  StartAll(2);
  network.Run(2s);
  network.At(1).exchange->SetStore("another store");
  network.At(0).store_progress.latest = {network.clock.Now(),
                                         {StoreEra{1}, 42}};
  network.Run(1s);
  BOOST_TEST(!network.At(1).store_progress.latest);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace sapphirestream
