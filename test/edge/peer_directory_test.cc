// Guards against dead addresses that circulate among instances, against a
// former process that is taken for the current one, and against unbounded
// state.
#include "sapphirestream/edge/peer_directory.h"

#include <boost/test/unit_test.hpp>
#include <set>

#include "sapphirestream/edge/peer_introductions.h"
#include "sapphirestream/edge/peer_ring.h"
#include "sapphirestream/edge/peer_seeds.h"
#include "testing/peer_network.h"

namespace sapphirestream {
namespace {

using namespace std::chrono_literals;
using testing::PeerAddress;

struct Fixture {
  std::optional<PeerRejection> Hear(std::size_t number, std::uint64_t id,
                                    std::uint32_t sequence = 0) {
    const auto heard =
        directory.OnHeard(PeerAddress(number), PeerId{id}, sequence, now);
    if (const auto* rejection = std::get_if<PeerRejection>(&heard)) {
      return *rejection;
    }
    auto& result = std::get<PeerDirectory::HeardPeer>(heard);
    replaced = result.replaced;
    if (sequence != 0) result.peer->samples_heard = now;
    return std::nullopt;
  }

  TimePoint now = TimePoint{} + 100s;
  SeededRandom random{5};
  PeerDirectory directory{PeerAddress(0), random};
  std::optional<PeerId> replaced;
};

BOOST_FIXTURE_TEST_SUITE(peer_directory, Fixture)

BOOST_AUTO_TEST_CASE(a_mentioned_address_is_passed_on_only_after_it_answered) {
  directory.OnMentioned(PeerAddress(1), now);
  BOOST_TEST(directory.LivePeers(now).empty());
  BOOST_TEST(directory.TakeContacts(10, now).size() == 1U);
  BOOST_TEST(!Hear(1, 11).has_value());
  BOOST_TEST(directory.LivePeers(now).size() == 1U);
}

BOOST_AUTO_TEST_CASE(contacts_back_off_and_silent_addresses_are_forgotten) {
  directory.OnMentioned(PeerAddress(1), now);
  int contacts = 0;
  for (int i = 0; i < 600; ++i, now += 100ms) {
    contacts += static_cast<int>(directory.TakeContacts(10, now).size());
  }
  BOOST_TEST(contacts > 5);
  BOOST_TEST(contacts < 15);
  BOOST_TEST(directory.Expire(now).empty());
  BOOST_TEST(directory.size() == 0U);
}

BOOST_AUTO_TEST_CASE(a_silent_peer_is_lost_once_and_contacted_again) {
  BOOST_TEST(!Hear(1, 11, 1).has_value());
  now += PeerDirectory::kSilenceTimeout;
  const auto lost = directory.Expire(now);
  BOOST_REQUIRE(lost.size() == 1U);
  BOOST_TEST((lost[0].id == PeerId{11}));
  BOOST_TEST(directory.Expire(now).empty());
  BOOST_TEST(directory.TakeContacts(10, now).size() == 1U);
}

BOOST_AUTO_TEST_CASE(a_restart_replaces_the_former_process_for_good) {
  BOOST_TEST(!Hear(1, 11, 50).has_value());
  BOOST_TEST(!Hear(1, 12, 1).has_value());
  BOOST_TEST((replaced == PeerId{11}));
  // A message of the former process that was delayed in the network.
  BOOST_TEST((Hear(1, 11, 51) == PeerRejection::kFormerProcess));
  BOOST_TEST(!Hear(1, 12, 2).has_value());
}

BOOST_AUTO_TEST_CASE(old_and_repeated_sequences_are_rejected) {
  BOOST_TEST(!Hear(1, 11, 5).has_value());
  BOOST_TEST((Hear(1, 11, 5) == PeerRejection::kReordered));
  BOOST_TEST((Hear(1, 11, 4) == PeerRejection::kReordered));
  BOOST_TEST(!Hear(1, 11, 6).has_value());
}

BOOST_AUTO_TEST_CASE(an_id_cannot_be_used_from_another_address) {
  BOOST_TEST(!Hear(1, 11, 1).has_value());
  BOOST_TEST((Hear(2, 11, 1) == PeerRejection::kForeignId));
  // The former process of this instance is no peer.
  BOOST_TEST((Hear(0, 12, 1) == PeerRejection::kFormerProcess));
}

BOOST_AUTO_TEST_CASE(the_size_is_bounded_and_live_neighbors_stay) {
  for (std::size_t i = 1; i <= 40; ++i) {
    BOOST_TEST(!Hear(i, i).has_value());
  }
  directory.UpdateNeighbors(now);
  const auto neighbors = directory.Neighbors();
  BOOST_TEST(neighbors.size() == PeerDirectory::kMaxNeighbors);
  for (std::size_t i = 100; i < 5000; ++i) {
    directory.OnMentioned(PeerAddress(i), now);
  }
  BOOST_TEST(directory.size() == PeerDirectory::kMaxPeers);
  directory.UpdateNeighbors(now);
  BOOST_TEST((directory.Neighbors() == neighbors));
}

BOOST_AUTO_TEST_CASE(neighbors_agree_on_each_other) {
  constexpr std::size_t instances = 100;
  std::vector<std::set<V4Endpoint, bool (*)(V4Endpoint, V4Endpoint)>> sets;
  const auto less = [](V4Endpoint a, V4Endpoint b) {
    return Value(a) < Value(b);
  };
  for (std::size_t i = 0; i < instances; ++i) {
    PeerDirectory other(PeerAddress(i), random);
    for (std::size_t j = 0; j < instances; ++j) {
      if (j == i) continue;
      BOOST_TEST(std::holds_alternative<PeerDirectory::HeardPeer>(
          other.OnHeard(PeerAddress(j), PeerId{j + 1}, 0, now)));
    }
    other.UpdateNeighbors(now);
    const auto neighbors = other.Neighbors();
    sets.emplace_back(neighbors.begin(), neighbors.end(), less);
  }
  for (std::size_t i = 0; i < instances; ++i) {
    for (std::size_t j = 0; j < instances; ++j) {
      BOOST_TEST(sets[i].contains(PeerAddress(j)) ==
                 sets[j].contains(PeerAddress(i)));
    }
  }
}

BOOST_AUTO_TEST_CASE(an_asker_gets_its_nearest_neighbors) {
  std::vector<V4Endpoint> all;
  for (std::size_t i = 0; i < 60; ++i) all.push_back(PeerAddress(i));
  const V4Endpoint asker = PeerAddress(7);
  auto nearest = std::min_element(all.begin(), all.end(), [&](auto a, auto b) {
    return RingDistance(asker, a) - 1 < RingDistance(asker, b) - 1;
  });
  const V4Endpoint expected = *nearest;
  SelectAddressesFor(asker, 8, random, all);
  BOOST_TEST(all.size() == 8U);
  BOOST_TEST(std::count(all.begin(), all.end(), expected) == 1);
  BOOST_TEST(std::count(all.begin(), all.end(), asker) == 0);
}

BOOST_AUTO_TEST_CASE(introductions_are_bounded_and_expire) {
  PeerIntroductions introductions;
  for (std::uint32_t domain = 0; domain < 100; ++domain) {
    for (std::size_t i = 0; i < 100; ++i) {
      introductions.Add(DomainHash{domain}, PeerAddress(i), now);
    }
  }
  BOOST_TEST(introductions.AddressesOf(DomainHash{1}).size() ==
             PeerIntroductions::kMaxAddresses);
  BOOST_TEST(introductions.AddressesOf(DomainHash{99}).empty());
  introductions.Expire(now + PeerIntroductions::kMaxAge);
  BOOST_TEST(introductions.AddressesOf(DomainHash{1}).empty());
}

BOOST_AUTO_TEST_CASE(all_seeds_are_contacted_in_turn_with_backoff) {
  PeerSeeds seeds({PeerAddress(1), PeerAddress(2), PeerAddress(3)}, random);
  std::vector<V4Endpoint> contacted;
  for (int i = 0; i < 1200; ++i, now += 100ms) {
    if (const auto seed = seeds.Take(true, true, now)) {
      contacted.push_back(*seed);
    }
  }
  BOOST_REQUIRE(contacted.size() > 3U);
  BOOST_TEST((contacted[0] != contacted[1]));
  BOOST_TEST((contacted[1] != contacted[2]));
  BOOST_TEST((contacted[0] != contacted[2]));
  BOOST_TEST(contacted.size() < 25U);
  BOOST_TEST(!seeds.Take(false, true, now + 100s).has_value());
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace sapphirestream
