// Guards against a stored configuration that differs from the accepted one and
// against values that exceed the size limit of the store.
#include "sapphirestream/store/shard_plan.h"

#include <boost/test/unit_test.hpp>

#include "sapphirestream/base/random.h"
#include "sapphirestream/contract/find.h"
#include "sapphirestream/store/object_store.h"
#include "test/contract/sample.h"
#include "test/store/large_configuration.h"

namespace sapphirestream {
namespace {

using Values = std::map<std::string, std::string>;

// Returns the shard values that a reader with `known` has to read.
Values ReadMissing(const Values& stored, const ConfigHead& head,
                   const Configuration* known) {
  Values out;
  for (const std::string& name : MissingShards(head, known)) {
    out.emplace(name, stored.at(name));
  }
  return out;
}

// Applies a random mutation to one service: adds up to 400 targets, removes
// targets, adds an announcement, or creates or deletes the service. Services
// grow to thousands of targets in several shards.
Configuration Mutate(const Configuration& before, Random& random) {
  Configuration after = before;
  after.version = ConfigVersion{Value(before.version) + 1};
  const ServiceId id{static_cast<std::uint32_t>(1 + random.Below(4))};
  const auto found = std::find_if(after.services.begin(), after.services.end(),
                                  [&](const Service& s) { return s.id >= id; });
  if (found == after.services.end() || found->id != id) {
    Service service;
    service.id = id;
    service.name = "s" + std::to_string(Value(id));
    service.address = {MakeV4(10, 0, 0, static_cast<std::uint8_t>(Value(id))),
                       80};
    service.version = after.version;
    after.services.insert(found, service);
    return after;
  }
  found->version = after.version;
  const auto kind = random.Below(10);
  if (kind == 0) {
    std::erase_if(after.announcements,
                  [&](const Announcement& a) { return a.service == id; });
    after.services.erase(found);
  } else if (kind < 4) {
    const auto below = TargetId{
        static_cast<std::uint32_t>(random.Below(after.next_target_id))};
    std::erase_if(found->targets,
                  [&](const Target& t) { return t.id < below; });
  } else if (kind == 4) {
    after.announcements = {{"a" + std::to_string(Value(after.version)), id,
                            sample::kNow, sample::kNow + std::chrono::hours(1),
                            "slower"}};
  } else {
    for (auto n = random.Below(400); n > 0; --n) {
      Target target;
      target.id = TargetId{after.next_target_id};
      target.tunnel.address.bytes[15] =
          static_cast<std::uint8_t>(after.next_target_id);
      target.tunnel.address.bytes[14] =
          static_cast<std::uint8_t>(after.next_target_id >> 8U);
      target.tunnel.address.bytes[13] =
          static_cast<std::uint8_t>(after.next_target_id >> 16U);
      target.tunnel.port = 6081;
      target.added = after.version;
      found->targets.push_back(target);
      ++after.next_target_id;
    }
  }
  return after;
}

BOOST_AUTO_TEST_SUITE(shard_plan)

// Covers splits, merges and services that continue in the next shard, over a
// random history, for readers with no, the preceding or any earlier version.
BOOST_AUTO_TEST_CASE(every_reader_puts_together_what_was_accepted) {
  SeededRandom random(11);
  Values stored;
  std::vector<Configuration> history{InitialConfiguration()};
  std::optional<ConfigHead> head;
  std::size_t most_shards = 0;
  for (int i = 0; i < 150; ++i) {
    const Configuration& before = history.back();
    const Configuration after = Mutate(before, random);
    ShardPlan plan = PlanShards(head ? &*head : nullptr, before, after);
    for (ShardWrite& write : plan.writes) {
      BOOST_TEST_REQUIRE(
          stored.emplace(write.name, std::move(write.value)).second);
    }
    head = ParseHead(SerializeHead(plan.head)).value();
    BOOST_TEST_REQUIRE((*head == plan.head));
    most_shards = std::max(most_shards, head->services.size());
    const Values all = ReadMissing(stored, *head, nullptr);
    BOOST_TEST_REQUIRE((Assemble(*head, nullptr, all).value() == after));
    const Configuration& earlier = history[random.Below(history.size())];
    for (const Configuration* known : {&before, &earlier}) {
      const Values some = ReadMissing(stored, *head, known);
      BOOST_TEST_REQUIRE((Assemble(*head, known, some).value() == after));
    }
    history.push_back(after);
  }
  BOOST_TEST(most_shards > 10U);
}

BOOST_AUTO_TEST_CASE(no_value_exceeds_1_mb_with_120000_targets) {
  struct Case {
    std::uint32_t services;
    std::uint32_t targets;
  };
  for (const auto& [services, targets] : {Case{17'000, 7}, Case{6, 20'000}}) {
    const Configuration before = sample::Large(services, targets);
    const ShardPlan plan = PlanShards(nullptr, before, before);
    BOOST_TEST(SerializeHead(plan.head).size() < kMaxValueBytes / 4);
    for (const ShardWrite& write : plan.writes) {
      BOOST_TEST_REQUIRE(write.value.size() <= kMaxShardBytes);
    }
    // The last target of the service and its entry may be in different shards,
    // and each may have to be split.
    Configuration after = before;
    after.version = ConfigVersion{Value(before.version) + 1};
    after.services[3].version = after.version;
    after.services[3].targets.back().drained = after.version;
    BOOST_TEST(PlanShards(&plan.head, before, after).writes.size() <= 4U);
  }
}

BOOST_AUTO_TEST_CASE(missing_and_damaged_shards_are_refused) {
  const Configuration after = sample::TwoTargets();
  const ShardPlan plan = PlanShards(nullptr, InitialConfiguration(), after);
  Values values;
  for (const ShardWrite& write : plan.writes) {
    values.emplace(write.name, write.value);
  }
  const auto error = [&] {
    return sample::ErrorOf([&] { return Assemble(plan.head, nullptr, values); })
        .kind;
  };
  BOOST_TEST((error() == ErrorKind::kNone));
  const auto first = values.begin();
  first->second += ' ';
  BOOST_TEST((error() == ErrorKind::kMalformedMessage));
  values.erase(first);
  BOOST_TEST((error() == ErrorKind::kNotFound));
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace sapphirestream
