// Compares lookup table algorithms by balance, disruption and build time.
// Results are discussed in docs/decisions/lookup-table.md.
#include <algorithm>
#include <chrono>
#include <cstdio>
#include <memory>
#include <string>
#include <unordered_map>

#include "bench/lookup_table_bench/maglev.h"
#include "bench/lookup_table_bench/weighted_rendezvous.h"
#include "sapphirestream/base/random.h"
#include "sapphirestream/target/bounded_rendezvous.h"

namespace sapphirestream::internal {
namespace {

constexpr std::uint64_t kSeed = 20261204;

struct Algorithm {
  std::string name;
  std::unique_ptr<BucketAssigner> assigner;
};

using Targets = std::vector<WeightedTarget>;
using Table = std::vector<TargetId>;

// Returns targets with gaps between their ids, as after years of additions and
// removals.
Targets MakeTargets(std::size_t count) {
  SeededRandom random(kSeed);
  Targets targets;
  std::uint32_t id = 0;
  for (std::size_t i = 0; i < count; ++i) {
    id += 1 + static_cast<std::uint32_t>(random.Below(20));
    targets.push_back({TargetId{id}, 100});
  }
  return targets;
}

// Returns the assignment with target indices replaced by ids.
Table Build(const Algorithm& algorithm, const Targets& targets) {
  Table table;
  for (const std::uint16_t owner : algorithm.assigner->Assign(targets)) {
    table.push_back(targets[owner].id);
  }
  return table;
}

double PeakToMean(const Table& table, std::size_t targets) {
  std::unordered_map<TargetId, std::size_t> owned;
  std::size_t peak = 0;
  for (const TargetId id : table) peak = std::max(peak, ++owned[id]);
  return static_cast<double>(peak * targets) /
         static_cast<double>(table.size());
}

// Returns the share of flows that moved although neither their old nor their
// new target is the changed one.
double UnnecessarilyMoved(const Table& a, const Table& b, TargetId changed) {
  const std::size_t size = std::max(a.size(), b.size());
  std::size_t moved = 0;
  for (std::size_t i = 0; i < size; ++i) {
    const TargetId x = a[i * a.size() / size];
    const TargetId y = b[i * b.size() / size];
    if (x != y && x != changed && y != changed) ++moved;
  }
  return static_cast<double>(moved) / static_cast<double>(size);
}

// Reports disruption as the mean over `changes` additions and removals of one
// target.
void Measure(const Algorithm& algorithm, std::size_t count,
             std::size_t changes) {
  SeededRandom random(kSeed + count);
  const Targets targets = MakeTargets(count);
  const auto start = std::chrono::steady_clock::now();
  const Table table = Build(algorithm, targets);
  const double seconds =
      std::chrono::duration<double>(std::chrono::steady_clock::now() - start)
          .count();
  double added = 0.0;
  double removed = 0.0;
  for (std::size_t i = 0; i < changes; ++i) {
    Targets with_added = targets;
    const TargetId id{Value(targets.back().id) + 1 +
                      static_cast<std::uint32_t>(random.Below(1000))};
    with_added.push_back({id, 100});
    added += UnnecessarilyMoved(table, Build(algorithm, with_added), id);
    Targets with_removed = targets;
    const std::size_t at = random.Below(count);
    with_removed.erase(with_removed.begin() + static_cast<std::ptrdiff_t>(at));
    removed += UnnecessarilyMoved(table, Build(algorithm, with_removed),
                                  targets[at].id);
  }
  const auto n = static_cast<double>(changes);
  std::printf("%-28s %7zu %8zu %8.3f %9.3f%% %9.3f%% %10.2f\n",
              algorithm.name.c_str(), count, table.size(),
              PeakToMean(table, count), 100 * added / n, 100 * removed / n,
              1000 * seconds);
  std::fflush(stdout);
}

void Run() {
  std::vector<Algorithm> algorithms;
  algorithms.push_back({"maglev", std::make_unique<Maglev>()});
  algorithms.push_back(
      {"weighted rendezvous", std::make_unique<WeightedRendezvous>()});
  for (const std::uint32_t slack : {0U, 25U, 50U, 100U, 250U}) {
    algorithms.push_back(
        {"bounded rendezvous +" + std::to_string(slack) + "/1000",
         std::make_unique<BoundedRendezvous>(slack)});
  }
  std::printf("seed %llu; moved: beyond the minimum\n",
              static_cast<unsigned long long>(kSeed));
  std::printf("%-28s %7s %8s %8s %10s %10s %10s\n", "construction", "targets",
              "buckets", "peak", "moved(+1)", "moved(-1)", "build ms");
  // The table size doubles above 16 and above 1,024 targets.
  for (const std::size_t count : {4, 7, 14, 16, 100, 1000, 1024, 10000}) {
    for (const Algorithm& algorithm : algorithms) {
      const bool is_slow =
          algorithm.name == "weighted rendezvous" && count > 1000;
      Measure(algorithm, count, is_slow ? 1 : 10);
    }
  }
}

}  // namespace
}  // namespace sapphirestream::internal

int main() { sapphirestream::internal::Run(); }
