// Guards against tables that are unbalanced, ignore weights or drains, or move
// buckets that a change does not affect.
#include "sapphirestream/target/lookup_table.h"

#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <unordered_map>

namespace sapphirestream {
namespace {

constexpr ConfigVersion kVersion{7};

Service MakeService(std::uint32_t targets) {
  Service service;
  for (std::uint32_t i = 1; i <= targets; ++i) {
    service.targets.emplace_back().id = TargetId{i};
  }
  return service;
}

std::unordered_map<TargetId, double> Shares(const LookupTable& table) {
  std::unordered_map<TargetId, double> shares;
  for (const TargetId id : table.buckets()) {
    shares[id] += 1.0 / static_cast<double>(table.size());
  }
  return shares;
}

// Returns the share of flows that moved although neither their old nor their
// new target changed.
double UnrelatedMoveShare(const LookupTable& before, const LookupTable& after,
                          TargetId changed) {
  const std::size_t size = std::max(before.size(), after.size());
  std::size_t moved = 0;
  for (std::size_t i = 0; i < size; ++i) {
    const std::uint64_t hash = ((i << 32) / size + 1) << 32;
    const TargetId a = before.At(hash);
    const TargetId b = after.At(hash);
    if (a != b && a != changed && b != changed) ++moved;
  }
  return static_cast<double>(moved) / static_cast<double>(size);
}

BOOST_AUTO_TEST_SUITE(lookup_table)

BOOST_AUTO_TEST_CASE(no_active_target_gives_an_empty_table) {
  Service service = MakeService(1);
  service.targets[0].drained = kVersion;
  BOOST_TEST(LookupTable::Build(service, kVersion).empty());
  BOOST_TEST((LookupTable::Build({}, {}).At(1) == kNoTarget));
}

BOOST_AUTO_TEST_CASE(shares_follow_weights) {
  for (const std::uint32_t n : {3U, 5U, 14U, 33U, 1000U}) {
    Service service = MakeService(n);
    service.targets[0].weight = 300;
    service.targets[1].weight = 50;
    const auto shares = Shares(LookupTable::Build(service, kVersion));
    const double unit = 1.0 / (n + 1.5);
    BOOST_TEST(shares.size() == n);
    for (const auto& [id, share] : shares) {
      const double weight = id == TargetId{1} ? 3 : id == TargetId{2} ? 0.5 : 1;
      BOOST_TEST(share < weight * unit * 1.10);
      BOOST_TEST((id != TargetId{1} || share > weight * unit * 0.90));
    }
  }
}

// Adding a target to 16 or 64 doubles the size of the table.
BOOST_AUTO_TEST_CASE(adding_one_target_moves_few_other_buckets) {
  for (const std::uint32_t n : {4U, 14U, 16U, 64U, 1000U}) {
    const auto before = LookupTable::Build(MakeService(n), kVersion);
    const auto after = LookupTable::Build(MakeService(n + 1), kVersion);
    BOOST_TEST(UnrelatedMoveShare(before, after, TargetId{n + 1}) < 0.1);
  }
}

BOOST_AUTO_TEST_CASE(draining_equals_removing) {
  Service drained = MakeService(14);
  drained.targets[6].drained = kVersion;
  Service removed = MakeService(14);
  removed.targets.erase(removed.targets.begin() + 6);
  const auto table = LookupTable::Build(drained, kVersion);
  BOOST_TEST(
      (table.buckets() == LookupTable::Build(removed, kVersion).buckets()));
  const auto full = LookupTable::Build(MakeService(14), kVersion);
  BOOST_TEST(UnrelatedMoveShare(full, table, TargetId{7}) < 0.1);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace sapphirestream
