// Prints how placements cope with uneven demand and targets of different speed,
// in virtual time with fixed seeds. docs/design/placement-under-load.md
// discusses the results.
//
// Usage: placement_table [seed]
#include <chrono>
#include <cstdint>
#include <cstdio>
#include <cstdlib>
#include <string>
#include <vector>

#include "test/edge/load_simulation.h"

namespace sapphirestream::load {
namespace {

using namespace std::chrono_literals;

struct Fleet {
  std::vector<std::uint32_t> instances;
  std::vector<std::uint32_t> targets;
};

struct Variant {
  const char* name;
  Policy policy;
  Duration exchange_interval{};
};

struct Scenario {
  const char* name;
  Load load;
};

std::vector<Fleet> Fleets() {
  return {{{2, 2, 1, 1}, {4, 4, 3, 3}},
          {{19, 19, 19, 19}, {30, 30, 30, 30}},
          {{75, 75, 75, 75}, {120, 120, 120, 120}}};
}

std::vector<Variant> Variants() {
  return {{"plain hash", Policy::kPlainHash},
          {"tiers, own counts", Policy::kPlaceFlow},
          {"subsets, own counts", Policy::kSubsets},
          {"balanced, own", Policy::kBalanced},
          {"balanced, 400 ms", Policy::kBalanced, 400ms},
          {"balanced, 200 ms", Policy::kBalanced, 200ms},
          {"balanced, 100 ms", Policy::kBalanced, 100ms},
          {"balanced, 10 ms", Policy::kBalanced, 10ms}};
}

std::vector<Scenario> Scenarios() {
  // The request times of the targets of the deployments.
  const std::vector<double> uneven{0.7, 0.7, 1.7};
  return {{"80% load", {.utilization = 0.8}},
          {"slow quarter",
           {.request_times = uneven,
            .utilization = 0.125,
            .burst_factor = 2,
            .slowdown = 5}},
          {"sixfold burst",
           {.request_times = uneven, .utilization = 0.125, .burst_factor = 6}},
          {"domain at 150%", {.utilization = 0.5, .peak_factor = 3}},
          {"all at 130%", {.utilization = 0.5, .burst_factor = 2.6}}};
}

void Print(const Scenario& scenario, const Variant& variant, Result& result) {
  const auto placed = static_cast<double>(result.placed);
  std::printf("%-15s %-20s %7.1f %7.2f %7.2f %6.2f %6.1f %6.1f %7.0f %7.1f\n",
              scenario.name, variant.name,
              std::chrono::duration<double, std::milli>(result.Percentile(0.99))
                  .count(),
              100 * static_cast<double>(result.rejected) / placed,
              100 * static_cast<double>(result.late) / placed, result.imbalance,
              100 * static_cast<double>(result.crossed) / placed,
              result.copies == 0
                  ? 100.0
                  : 100 * static_cast<double>(result.copies_on_target) /
                        static_cast<double>(result.copies),
              result.messages_per_s, result.bytes_per_s / 1000);
  std::fflush(stdout);
}

void Run(std::uint64_t seed, std::size_t only_fleet) {
  const std::vector<Fleet> fleets = Fleets();
  for (std::size_t i = 0; i < fleets.size(); ++i) {
    if (only_fleet != 0 && only_fleet != i + 1) continue;
    std::size_t instances = 0;
    std::size_t targets = 0;
    for (const std::uint32_t count : fleets[i].instances) instances += count;
    for (const std::uint32_t count : fleets[i].targets) targets += count;
    std::printf("%zu instances, %zu targets\n", instances, targets);
    std::printf("%-15s %-20s %7s %7s %7s %6s %6s %6s %7s %7s\n", "scenario",
                "placement", "p99 ms", "rej %", "late %", "imbal", "cross%",
                "same %", "msg/s", "KB/s");
    for (const Scenario& scenario : Scenarios()) {
      for (const Variant& variant : Variants()) {
        Load load = scenario.load;
        load.instances = fleets[i].instances;
        load.targets = fleets[i].targets;
        load.policy = variant.policy;
        load.exchange_interval = variant.exchange_interval;
        load.crossing = 5ms;
        load.warm_up = 3s;
        load.measured = targets > 200 ? 3s : 6s;
        load.seed = seed;
        Result result = LoadSimulation(load).Run();
        Print(scenario, variant, result);
      }
    }
  }
}

}  // namespace
}  // namespace sapphirestream::load

// Arguments: seed and number of the fleet, 0 for all fleets.
int main(int argc, char** argv) {
  const std::uint64_t seed = argc > 1 ? std::strtoull(argv[1], nullptr, 10) : 1;
  const std::size_t fleet = argc > 2 ? std::strtoull(argv[2], nullptr, 10) : 0;
  sapphirestream::load::Run(seed, fleet);
}
