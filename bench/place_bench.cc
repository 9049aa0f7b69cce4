// Measures the time of one placement and of one update of the counts of a peer.
#include <benchmark/benchmark.h>

#include <chrono>

#include "sapphirestream/target/least_load_placer.h"

namespace sapphirestream {
namespace {

Service MakeService(std::int64_t targets) {
  Service service;
  for (std::uint32_t i = 0; i < targets; ++i) {
    Target& target = service.targets.emplace_back();
    target.id = TargetId{i + 1};
    target.domain = DomainId{static_cast<std::uint16_t>(i % 4)};
    target.max_connections = 1'000'000;
  }
  return service;
}

void Place(benchmark::State& state) {
  LeastLoadPlacer placer(MakeService(state.range(0)), Preset{}, DomainId{0});
  TimePoint now{std::chrono::seconds(1000)};
  std::uint64_t hash = 0;
  for (auto _ : state) {
    now += std::chrono::microseconds(500);
    hash += 0x9e3779b97f4a7c15ULL;
    const Placement placement = placer.Place({.flow_hash = hash}, now);
    placer.End(placement.target, now);
  }
}
BENCHMARK(Place)->Arg(7)->Arg(14)->Arg(1000)->Arg(10000);

void SetPeerCounts(benchmark::State& state) {
  LeastLoadPlacer placer(MakeService(state.range(0)), Preset{}, DomainId{0});
  TimePoint now{std::chrono::seconds(1000)};
  std::vector<PlacementCount> counts;
  for (std::uint32_t i = 0; i < state.range(0); ++i) {
    counts.push_back({TargetId{i + 1}, 5});
  }
  std::uint32_t peer = 0;
  for (auto _ : state) {
    now += std::chrono::milliseconds(10);
    placer.SetPeerCounts(InstanceId{1 + ++peer % 11}, counts, now);
  }
}
BENCHMARK(SetPeerCounts)->Arg(7)->Arg(14)->Arg(1000)->Arg(10000);

}  // namespace
}  // namespace sapphirestream

BENCHMARK_MAIN();
