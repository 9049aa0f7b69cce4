// Guards against configurations that reach an instance late, corrupted, in the
// wrong order or not at all, under message loss, failed instances, pauses and
// partitions.
#include "sapphirestream/domain/dissemination.h"

#include <boost/test/unit_test.hpp>
#include <string>

#include "testing/domain_cluster.h"

namespace sapphirestream {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;
using testing::DomainCluster;

// Returns a body of `size` bytes of which a few depend on `version`.
std::string Body(std::uint64_t version, std::size_t size = 4'000) {
  std::string body(size, 'a');
  return body.replace(size / 2, 20, std::to_string(version) + "...");
}

// A running cluster in which version 1 is active everywhere.
struct Fixture {
  explicit Fixture(std::uint64_t seed, std::uint32_t domains = 3,
                   std::uint32_t size = 3, double loss = 0)
      : cluster({.seed = seed, .loss = loss}) {
    for (std::uint32_t i = 0; i < domains * size; ++i) {
      cluster.Start(i + 1, static_cast<std::uint16_t>(i / size + 1));
    }
    cluster.Run(seconds(10));
    cluster.PublishConfiguration(1, Body(1));
    cluster.Run(seconds(4));
    BOOST_REQUIRE(cluster.IsActiveEverywhere(1));
  }
  // Returns how long it takes until `version` is active everywhere, at most
  // `limit`.
  Duration TimeToActive(std::uint64_t version, Duration limit) {
    const TimePoint start = cluster.now();
    while (!cluster.IsActiveEverywhere(version)) {
      if (cluster.now() - start > limit) break;
      cluster.Run(milliseconds(20));
    }
    return cluster.now() - start;
  }
  Dissemination& at(std::uint32_t id) { return cluster.at(id).dissemination; }
  // Returns an instance of the domain that is (not) a reader.
  std::uint32_t Find(std::uint16_t domain, bool is_reader) {
    for (const auto& [id, node] : cluster.nodes()) {
      if (node->domain == DomainId{domain} &&
          node->dissemination.IsReader() == is_reader) {
        return Value(id);
      }
    }
    return 0;
  }

  DomainCluster cluster;
};

BOOST_AUTO_TEST_SUITE(dissemination)

BOOST_AUTO_TEST_CASE(change_is_active_everywhere_within_5_s_at_any_loss) {
  for (const double loss : {0.0, 0.02, 0.1}) {
    Fixture f(21, 3, 3, loss);
    for (std::uint64_t version = 2; version < 20; ++version) {
      f.cluster.PublishConfiguration(version, Body(version));
      BOOST_TEST((f.TimeToActive(version, seconds(6)) < seconds(5)));
    }
    BOOST_TEST(*f.at(5).body() == Body(19));
  }
}

// Without message loss, activation must not wait for the 2 s timeout.
BOOST_AUTO_TEST_CASE(confirmations_activate_before_the_timeout) {
  Fixture f(22, 4, 9);
  f.cluster.PublishConfiguration(2, Body(2));
  BOOST_TEST((f.TimeToActive(2, seconds(6)) < milliseconds(400)));
  for (const auto& [id, node] : f.cluster.nodes()) {
    if (!node->dissemination.IsReader()) continue;
    f.cluster.Run(milliseconds(500));
    const ConfigConfirm status = node->dissemination.status();
    if (status.live == 9) BOOST_TEST(status.active == 9);
  }
}

BOOST_AUTO_TEST_CASE(relays_killed_during_a_delta_do_not_stop_it) {
  Fixture f(23, 1, 30);
  // The reader sends the delta to its children, which are killed before they
  // relay it.
  f.cluster.PublishConfiguration(2, Body(2));
  std::vector<std::uint32_t> relays;
  f.cluster.Run(milliseconds(20), [&] {
    for (const auto& [id, node] : f.cluster.nodes()) {
      const bool has_it = node->dissemination.prepared() == ConfigVersion{2};
      if (has_it && !node->dissemination.IsReader()) {
        relays.push_back(Value(id));
      }
    }
  });
  relays.resize(std::min<std::size_t>(relays.size(), 3));
  for (const std::uint32_t id : relays) f.cluster.Kill(id);
  BOOST_TEST((f.TimeToActive(2, seconds(6)) < seconds(5)));
}

BOOST_AUTO_TEST_CASE(paused_reader_delays_no_other_and_catches_up) {
  Fixture f(24);
  const std::uint32_t reader = f.Find(1, true);
  f.cluster.Pause(reader);
  f.cluster.PublishConfiguration(2, Body(2));
  f.cluster.Run(seconds(5));
  for (const auto& [id, node] : f.cluster.nodes()) {
    if (Value(id) == reader) continue;
    BOOST_TEST((node->dissemination.active() == ConfigVersion{2}));
  }
  f.cluster.Resume(reader);
  BOOST_TEST((f.TimeToActive(2, seconds(6)) < seconds(5)));
}

BOOST_AUTO_TEST_CASE(replaced_domain_takes_the_configuration_from_peers) {
  Fixture f(25);
  f.cluster.PublishConfiguration(2, Body(2));
  f.cluster.Run(seconds(3));
  for (std::uint32_t id = 1; id <= 3; ++id) f.cluster.Start(id, 1, 2);
  BOOST_TEST(!f.at(1).is_ready());
  BOOST_TEST((f.TimeToActive(2, seconds(6)) < seconds(5)));
  BOOST_TEST(*f.at(2).body() == Body(2));
  // Versions older than its start may still be in use.
  BOOST_TEST(!f.at(2).IsHistoryComplete(f.cluster.now()));
}

BOOST_AUTO_TEST_CASE(instance_with_neither_store_nor_peers_is_not_ready) {
  DomainCluster cluster({.seed = 26});
  cluster.Start(1, 1);
  cluster.Run(seconds(10));
  BOOST_TEST(!cluster.at(1).dissemination.is_ready());
  BOOST_TEST(!cluster.at(1).dissemination.IsConfirmed(cluster.now()));
}

BOOST_AUTO_TEST_CASE(partition_before_acceptance_heals_to_the_higher_version) {
  Fixture f(27);
  const auto reaches = [](const DomainCluster::Node& node) {
    return node.domain != DomainId{1};
  };
  f.cluster.IsolateDomain(1);
  f.cluster.Run(seconds(5));
  f.cluster.PublishConfiguration(2, Body(2), reaches);
  f.cluster.Run(seconds(5));
  BOOST_TEST((f.at(4).active() == ConfigVersion{2}));
  BOOST_TEST((f.at(1).active() == ConfigVersion{1}));
  f.cluster.Heal();
  BOOST_TEST((f.TimeToActive(2, seconds(6)) < seconds(5)));
}

BOOST_AUTO_TEST_CASE(partition_during_acceptance_delays_the_others_by_2_s) {
  Fixture f(28);
  f.cluster.PublishConfiguration(2, Body(2));
  f.cluster.IsolateDomain(1);
  BOOST_TEST((f.TimeToActive(2, seconds(6)) < seconds(5)));
  f.cluster.Heal();
  f.cluster.Run(seconds(10));
  f.cluster.PublishConfiguration(3, Body(3));
  BOOST_TEST((f.TimeToActive(3, seconds(6)) < seconds(1)));
}

BOOST_AUTO_TEST_CASE(isolated_instance_reports_unconfirmed_configuration) {
  Fixture f(29);
  f.cluster.IsolateInstance(2);
  f.cluster.Run(milliseconds(2'500));
  BOOST_TEST(!f.at(2).IsConfirmed(f.cluster.now()));
  BOOST_TEST(f.at(1).IsConfirmed(f.cluster.now()));
  f.cluster.PublishConfiguration(
      2, Body(2),
      [](const DomainCluster::Node& node) { return node.id != InstanceId{2}; });
  f.cluster.Run(seconds(5));
  f.cluster.Heal();
  BOOST_TEST((f.TimeToActive(2, seconds(6)) < seconds(5)));
  f.cluster.Run(seconds(3));
  BOOST_TEST(f.at(2).IsConfirmed(f.cluster.now()));
}

BOOST_AUTO_TEST_CASE(missing_base_falls_back_to_a_snapshot) {
  Fixture f(30, 2, 3, 0.1);
  f.cluster.IsolateInstance(2);
  // Publishes more versions than there are deltas in the history.
  for (std::uint64_t version = 2; version <= 80; ++version) {
    f.cluster.PublishConfiguration(
        version, Body(version, 40'000),
        [](const auto& node) { return node.id != InstanceId{2}; });
    f.cluster.Run(milliseconds(100));
  }
  f.cluster.Heal();
  BOOST_TEST((f.TimeToActive(80, seconds(8)) < seconds(8)));
  BOOST_TEST(*f.at(2).body() == Body(80, 40'000));
}

BOOST_AUTO_TEST_CASE(lower_version_is_never_applied) {
  Fixture f(31);
  f.cluster.PublishConfiguration(5, Body(5));
  f.cluster.Run(seconds(3));
  const TimePoint now = f.cluster.now();
  f.at(1).OnStoreConfiguration(ConfigVersion{4}, Body(4), now);
  const std::string delta = testing::SpliceBody().Diff(Body(5), Body(4));
  f.at(1).OnMessage(InstanceId{2},
                    ConfigDelta{ConfigVersion{5}, ConfigVersion{4}, delta},
                    now);
  f.at(1).OnMessage(InstanceId{2},
                    ConfigChunk{ConfigVersion{}, ConfigVersion{4}, 0, 1, "x"},
                    now);
  BOOST_TEST((f.at(1).prepared() == ConfigVersion{5}));
  BOOST_TEST(*f.at(1).body() == Body(5));
}

BOOST_AUTO_TEST_CASE(replaced_version_is_retained_for_the_idle_timeout) {
  Fixture f(32, 1, 3);
  f.cluster.PublishConfiguration(2, Body(2));
  f.cluster.Run(seconds(890));
  BOOST_TEST(f.at(1).versions().size() == 2);
  f.cluster.Run(seconds(15));
  BOOST_TEST(f.at(1).versions().size() == 1);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace sapphirestream
