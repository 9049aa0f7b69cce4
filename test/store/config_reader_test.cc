// Guards against an instance that misses a change, goes back to a lower version
// or overloads the store.
#include "sapphirestream/store/config_reader.h"

#include <boost/test/unit_test.hpp>

#include "sapphirestream/store/config_restorer.h"
#include "test/store/session.h"

namespace sapphirestream {
namespace {

using sample::Add;
using sample::MakeChange;
using std::chrono::minutes;
using std::chrono::seconds;
using testing::WatchMode;

struct ReaderFixture : Session {
  ReaderFixture() : writer(MakeWriter()) {}

  std::unique_ptr<ConfigWriter> writer;
  std::vector<std::uint64_t> versions;
  ConfigReader reader{
      store,
      time,
      time,
      random,
      counters,
      {},
      [this](const std::shared_ptr<const Configuration>& configuration) {
        versions.push_back(Value(configuration->version));
      }};

  // Submits a change and returns the number of store calls in the next 5 s.
  std::uint64_t Change(const std::string& id, std::uint8_t target) {
    const auto before = store.calls().total();
    writer->Submit(MakeChange(id, {Add(target)}), [](const ChangeOutcome&) {});
    time.RunFor(seconds(5));
    return store.calls().total() - before;
  }
};

// An instance that writes lost configurations back.
struct RestorerFixture : ReaderFixture {
  RestorerFixture() {
    SetUp();
    restoring_reader.Start();
    time.RunFor(seconds(5));
  }

  ConfigRestorer restorer{store, time, random, counters, {}};
  ConfigReader restoring_reader{
      store,
      time,
      time,
      random,
      counters,
      {},
      [](const std::shared_ptr<const Configuration>&) {},
      [this](const std::shared_ptr<const Configuration>& lost) {
        restorer.Restore(lost);
      }};
};

BOOST_AUTO_TEST_SUITE(config_reader)

BOOST_AUTO_TEST_CASE(only_changed_shards_are_read) {
  ReaderFixture r;
  r.SetUp();
  r.reader.Start();
  r.time.RunFor(seconds(5));
  const auto gets = r.store.calls().gets;
  r.Change("a", 3);
  // The writer reads the head and a shard, the reader reads a shard; the watch
  // delivers the head to the reader.
  BOOST_TEST(r.store.calls().gets - gets <= 4U);
  BOOST_TEST((r.versions == std::vector<std::uint64_t>{1, 2}));
  BOOST_TEST((*r.reader.known() == *r.Load()));
}

BOOST_AUTO_TEST_CASE(a_quiet_reader_makes_at_most_one_call_every_2_s) {
  ReaderFixture r;
  r.SetUp();
  r.reader.Start();
  r.time.RunFor(seconds(5));
  const auto before = r.store.calls().total();
  r.time.RunFor(minutes(1));
  BOOST_TEST(r.store.calls().total() - before <= 31U);
}

BOOST_AUTO_TEST_CASE(the_first_change_is_seen_although_no_head_existed) {
  ReaderFixture r;
  r.reader.Start();
  r.time.RunFor(seconds(3));
  BOOST_TEST((r.versions == std::vector<std::uint64_t>{0}));
  r.SetUp();
  BOOST_TEST((r.versions == std::vector<std::uint64_t>{0, 1}));
}

// The change must take effect within 5 s in each case.
BOOST_AUTO_TEST_CASE(a_change_is_seen_while_watches_are_broken_or_silent) {
  for (const auto mode : {WatchMode::kBroken, WatchMode::kSilent}) {
    ReaderFixture r;
    r.SetUp();
    r.reader.Start();
    r.time.RunFor(seconds(5));
    r.store.set_watch_mode(mode);
    const auto calls = r.Change("a", 3);
    BOOST_TEST(r.versions.back() == 2U);
    BOOST_TEST(calls <= 60U);
  }
}

// A store that ends watches immediately must not be called in a tight loop.
BOOST_AUTO_TEST_CASE(a_store_that_ends_watches_early_is_not_flooded) {
  ReaderFixture r;
  r.SetUp();
  r.store.set_watch_mode(WatchMode::kImmediateTimeout);
  r.reader.Start();
  const auto before = r.store.calls().total();
  r.time.RunFor(minutes(1));
  BOOST_TEST(r.store.calls().total() - before <= 35U);
}

BOOST_AUTO_TEST_CASE(an_outage_is_survived_with_few_calls) {
  ReaderFixture r;
  r.SetUp();
  r.store.set_outage(true);
  r.reader.Start();
  const auto before = r.store.calls().total();
  r.time.RunFor(minutes(10));
  // Full jitter up to 2 s makes one call per second on average.
  BOOST_TEST(r.store.calls().total() - before < 900U);
  BOOST_TEST(r.versions.empty());
  r.store.set_outage(false);
  r.time.RunFor(seconds(3));
  BOOST_TEST((r.versions == std::vector<std::uint64_t>{1}));
}

// Accepted changes disappeared with the next restart of all instances, and no
// further change was accepted until then.
BOOST_AUTO_TEST_CASE(changes_lost_by_a_restored_store_are_written_again) {
  RestorerFixture r;
  const auto copy = r.store.Copy();
  r.Change("a", 3);
  r.Change("b", 4);
  const Configuration accepted = *r.restoring_reader.known();
  BOOST_REQUIRE(Value(accepted.version) == 3U);
  r.store.Restore(copy);
  r.time.RunFor(seconds(5));
  BOOST_TEST((*r.Load() == accepted));
  r.Change("c", 5);
  BOOST_TEST(Value(r.restoring_reader.known()->version) == 4U);
  BOOST_TEST(Value(r.Load()->version) == 4U);
}

// After a restoration two changes can be accepted under the same version.
BOOST_AUTO_TEST_CASE(parts_of_two_histories_do_not_become_one_configuration) {
  ReaderFixture r;
  r.SetUp();
  r.reader.Start();
  r.time.RunFor(seconds(5));
  const auto copy = r.store.Copy();
  r.Change("a", 3);
  r.store.Restore(copy);
  const auto unaware = r.MakeWriter();
  Preset night;
  night.name = "night";
  r.Run(*unaware, MakeChange("b", {PutPreset{night}}));
  BOOST_TEST(r.counters.Emplace("config_forked_heads_total").value() >= 1U);
  BOOST_TEST(Value(r.reader.known()->version) == 2U);
  r.Run(*unaware, MakeChange("c", {Add(5)}));
  BOOST_TEST(Value(r.reader.known()->version) == 3U);
  BOOST_TEST((*r.reader.known() == *r.Load()));
}

BOOST_AUTO_TEST_CASE(a_lost_first_configuration_is_written_again) {
  RestorerFixture r;
  r.store.Restore({});
  r.time.RunFor(seconds(10));
  BOOST_TEST(Value(r.Load()->version) == 1U);
}

BOOST_AUTO_TEST_CASE(a_reverted_or_deleted_head_is_never_followed) {
  ReaderFixture r;
  r.SetUp();
  const std::string old = r.store.objects().at(std::string(kHeadName)).value;
  r.reader.Start();
  r.Change("a", 3);
  r.store.Overwrite(std::string(kHeadName), old);
  const auto before = r.store.calls().total();
  r.time.RunFor(minutes(1));
  BOOST_TEST((r.versions == std::vector<std::uint64_t>{1, 2}));
  BOOST_TEST(Value(r.reader.known()->version) == 2U);
  BOOST_TEST(r.counters.Emplace("config_reverted_heads_total").value() == 1U);
  BOOST_TEST(r.store.calls().total() - before <= 40U);
}

BOOST_AUTO_TEST_CASE(a_paused_reader_takes_the_newest_version_when_it_wakes) {
  ReaderFixture r;
  r.SetUp();
  r.reader.Start();
  r.time.RunFor(seconds(5));
  r.store.set_watch_mode(WatchMode::kSilent);
  r.reader.Stop();
  r.Change("a", 3);
  r.Change("b", 4);
  r.store.set_watch_mode(WatchMode::kWorking);
  r.reader.Start();
  r.time.Pause(minutes(10));
  r.time.RunFor(seconds(5));
  BOOST_TEST((r.versions == std::vector<std::uint64_t>{1, 3}));
}

// A configuration received from a peer is neither read nor delivered again.
BOOST_AUTO_TEST_CASE(a_configuration_from_a_peer_saves_reads) {
  ReaderFixture r;
  r.SetUp();
  r.reader.Observe(r.Load());
  const auto before = r.store.calls().gets;
  r.reader.Start();
  r.time.RunFor(seconds(1));
  BOOST_TEST(r.store.calls().gets - before == 1U);
  BOOST_TEST(r.versions.empty());
}

// A shard that does not match its checksum must not reach the packet path.
BOOST_AUTO_TEST_CASE(a_damaged_shard_is_not_delivered) {
  ReaderFixture r;
  r.SetUp();
  for (const auto& [name, object] : r.store.objects()) {
    if (!name.starts_with("config/services/")) continue;
    r.store.Overwrite(name, R"({"services":[],"announcements":[]})");
    break;
  }
  r.reader.Start();
  r.time.RunFor(seconds(5));
  BOOST_TEST(r.versions.empty());
  BOOST_TEST(r.counters.Emplace("config_read_failures_total").value() > 0U);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace sapphirestream
