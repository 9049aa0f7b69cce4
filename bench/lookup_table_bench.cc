// Compares constructions of the lookup table: balance, disruption and build
// time. Results are discussed in docs/decisions/lookup-table.md.
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

struct Way {
  std::string name;
  std::unique_ptr<BucketAssigner> assigner;
};

using Targets = std::vector<WeightedTarget>;
using Table = std::vector<TargetId>;

// Ids with gaps, as after years of additions and removals.
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

// The assignment with indices replaced by ids.
Table Build(const Way& way, const Targets& targets) {
  Table table;
  for (const std::uint16_t owner : way.assigner->Assign(targets)) {
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

// Share of flows that moved although neither their old nor their new target is
// the changed one.
double MovedBeyond(const Table& a, const Table& b, TargetId changed) {
  const std::size_t size = std::max(a.size(), b.size());
  std::size_t moved = 0;
  for (std::size_t i = 0; i < size; ++i) {
    const TargetId x = a[i * a.size() / size];
    const TargetId y = b[i * b.size() / size];
    if (x != y && x != changed && y != changed) ++moved;
  }
  return static_cast<double>(moved) / static_cast<double>(size);
}

// Means over a few changes of one target.
void Measure(const Way& way, std::size_t count, std::size_t changes) {
  SeededRandom random(kSeed + count);
  const Targets targets = MakeTargets(count);
  const auto start = std::chrono::steady_clock::now();
  const Table table = Build(way, targets);
  const double seconds =
      std::chrono::duration<double>(std::chrono::steady_clock::now() - start)
          .count();
  double added = 0.0;
  double removed = 0.0;
  for (std::size_t i = 0; i < changes; ++i) {
    Targets more = targets;
    const TargetId id{Value(targets.back().id) + 1 +
                      static_cast<std::uint32_t>(random.Below(1000))};
    more.push_back({id, 100});
    added += MovedBeyond(table, Build(way, more), id);
    Targets fewer = targets;
    const std::size_t at = random.Below(count);
    fewer.erase(fewer.begin() + static_cast<std::ptrdiff_t>(at));
    removed += MovedBeyond(table, Build(way, fewer), targets[at].id);
  }
  const auto n = static_cast<double>(changes);
  std::printf("%-28s %7zu %8zu %8.3f %9.3f%% %9.3f%% %10.2f\n",
              way.name.c_str(), count, table.size(), PeakToMean(table, count),
              100 * added / n, 100 * removed / n, 1000 * seconds);
  std::fflush(stdout);
}

void Run() {
  std::vector<Way> ways;
  ways.push_back({"maglev", std::make_unique<Maglev>()});
  ways.push_back(
      {"weighted rendezvous", std::make_unique<WeightedRendezvous>()});
  for (const std::uint32_t slack : {0U, 25U, 50U, 100U, 250U}) {
    ways.push_back({"bounded rendezvous +" + std::to_string(slack) + "/1000",
                    std::make_unique<BoundedRendezvous>(slack)});
  }
  std::printf("seed %llu; moved: beyond the minimum\n",
              static_cast<unsigned long long>(kSeed));
  std::printf("%-28s %7s %8s %8s %10s %10s %10s\n", "construction", "targets",
              "buckets", "peak", "moved(+1)", "moved(-1)", "build ms");
  // One target more than 16 and 1,024 doubles the table.
  for (const std::size_t count : {4, 7, 14, 16, 100, 1000, 1024, 10000}) {
    for (const Way& way : ways) {
      const bool is_slow = way.name == "weighted rendezvous" && count > 1000;
      Measure(way, count, is_slow ? 1 : 10);
    }
  }
}

}  // namespace
}  // namespace sapphirestream::internal

int main() { sapphirestream::internal::Run(); }
