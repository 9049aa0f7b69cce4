// Measures store calls and latency per accepted change for 1, 2 and 8
// concurrent writers, and the sizes of head and shards with 120,000 targets.
// Runs in virtual time with a fixed seed. Usage: config_calls [seed]
#include <algorithm>
#include <cstdint>
#include <cstdio>
#include <cstdlib>
#include <ctime>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "sapphirestream/base/random.h"
#include "sapphirestream/contract/delta.h"
#include "sapphirestream/store/config_writer.h"
#include "sapphirestream/store/shard_plan.h"
#include "test/store/large_configuration.h"
#include "testing/fake_store.h"
#include "testing/virtual_time.h"

namespace sapphirestream {
namespace {

constexpr int kRounds = 200;
constexpr Duration kRoundDuration = std::chrono::minutes(1);

struct Scenario {
  int writers;
  bool same_target;
  BackoffOptions backoff;
};

struct Outcomes {
  int accepted = 0;
  int contradicted = 0;
  int other = 0;
  std::vector<double> latencies_ms;
};

double ToMs(Duration duration) {
  return std::chrono::duration<double, std::milli>(duration).count();
}

// In each round, all writers submit one change at the same time.
void Measure(const Scenario& scenario, std::uint64_t seed) {
  testing::VirtualTime time;
  testing::FakeStore store(time);
  SeededRandom random(seed);
  store.set_random(&random);
  ConfigWriterOptions options;
  options.backoff = scenario.backoff;
  std::vector<std::unique_ptr<ConfigWriter>> writers;
  writers.reserve(static_cast<std::size_t>(scenario.writers));
  for (int i = 0; i < scenario.writers; ++i) {
    writers.push_back(std::make_unique<ConfigWriter>(store, time, time, random,
                                                     options, nullptr));
  }
  std::shared_ptr<const Configuration> newest;
  const auto update_newest = [&](const ChangeOutcome& outcome) {
    if (outcome.configuration &&
        (!newest || newest->version < outcome.configuration->version)) {
      newest = outcome.configuration;
    }
  };
  writers[0]->Submit({"setup",
                      "bench",
                      false,
                      {CreateService{"orders", ServiceId{1},
                                     Endpoint{MakeV4(10, 0, 0, 1), 443}}}},
                     update_newest);
  time.RunFor(kRoundDuration);
  const testing::StoreCalls before = store.calls();
  Outcomes outcomes;
  for (int round = 0; round < kRounds; ++round) {
    for (const auto& writer : writers) writer->Observe(newest);
    const TimePoint started = time.Now();
    for (int i = 0; i < scenario.writers; ++i) {
      const auto host =
          static_cast<std::uint8_t>(scenario.same_target ? 1 : 1 + i);
      const Endpoint tunnel{MakeV4(127, 0, 2, host), 6081};
      Operation operation = AddTarget{"orders", tunnel};
      if (round % 2 == 1) operation = RemoveTarget{"orders", tunnel};
      const std::string id = std::to_string(round) + "-" + std::to_string(i);
      writers[static_cast<std::size_t>(i)]->Submit(
          {id, "bench", false, {operation}},
          [&, started](const ChangeOutcome& outcome) {
            update_newest(outcome);
            outcomes.latencies_ms.push_back(ToMs(time.Now() - started));
            if (outcome.error.kind == ErrorKind::kNone) {
              ++outcomes.accepted;
            } else if (outcome.error.kind == ErrorKind::kContradicted) {
              ++outcomes.contradicted;
            } else {
              ++outcomes.other;
            }
          });
    }
    time.RunFor(kRoundDuration);
  }
  std::sort(outcomes.latencies_ms.begin(), outcomes.latencies_ms.end());
  const auto quantile = [&](double q) {
    return outcomes.latencies_ms[static_cast<std::size_t>(
        q * static_cast<double>(outcomes.latencies_ms.size() - 1))];
  };
  const auto per_change = [&](std::uint64_t calls) {
    return static_cast<double>(calls) / outcomes.accepted;
  };
  const testing::StoreCalls& after = store.calls();
  std::printf(
      "%7d %7s %10.0f %8d %12d %5d %6.2f %6.2f %6.2f %7.1f %7.1f %7.1f\n",
      scenario.writers, scenario.same_target ? "same" : "other",
      ToMs(scenario.backoff.base), outcomes.accepted, outcomes.contradicted,
      outcomes.other, per_change(after.gets - before.gets),
      per_change(after.puts - before.puts),
      per_change(after.total() - before.total()), quantile(0.5), quantile(0.99),
      outcomes.latencies_ms.back());
}

void MeasureSizes(std::uint32_t services, std::uint32_t targets) {
  const Configuration before = sample::Large(services, targets);
  const ShardPlan plan = PlanShards(nullptr, before, before);
  Configuration after = before;
  after.version = ConfigVersion{Value(before.version) + 1};
  Service& service = after.services[after.services.size() / 2];
  service.version = after.version;
  service.targets[0].drained = after.version;
  const ShardPlan update = PlanShards(&plan.head, before, after);
  std::size_t all = 0;
  std::size_t largest = 0;
  for (const ShardWrite& write : plan.writes) {
    all += write.value.size();
    largest = std::max(largest, write.value.size());
  }
  std::size_t changed = 0;
  for (const ShardWrite& write : update.writes) changed += write.value.size();
  std::printf("%8u %7u %7zu %11zu %13zu %10zu %14zu %13zu\n", services, targets,
              plan.head.services.size(), all, largest,
              SerializeHead(update.head).size(), update.writes.size(), changed);
}

// Returns the lowest CPU time of several runs of `call`.
template <typename Call>
double CpuMs(Call call) {
  double best = 1e9;
  for (int i = 0; i < 5; ++i) {
    const std::clock_t started = std::clock();
    call();
    best = std::min(best, 1e3 * static_cast<double>(std::clock() - started) /
                              CLOCKS_PER_SEC);
  }
  return best;
}

// Measures the CPU time that a writer, a reader and any other instance spend on
// one change.
void MeasureCpu(std::uint32_t services, std::uint32_t targets) {
  const Configuration before = sample::Large(services, targets);
  const ShardPlan plan = PlanShards(nullptr, before, before);
  const Change change{"c",
                      "bench",
                      false,
                      {DrainTarget{before.services[2].name,
                                   before.services[2].targets[0].tunnel}}};
  const Configuration after =
      Apply(before, change, WallTime(std::chrono::hours(1))).value();
  const ShardPlan update = PlanShards(&plan.head, before, after);
  const std::string head = SerializeHead(update.head);
  const std::string delta = MakeDelta(before, after);
  std::map<std::string, std::string> values;
  for (const ShardWrite& write : update.writes) {
    values.emplace(write.name, write.value);
  }
  std::printf("%8u %7u %7.1f %7.1f %10.1f %10.1f %11.1f %10.1f %11zu\n",
              services, targets, CpuMs([&] {
                (void)Apply(before, change, WallTime(std::chrono::hours(1)));
              }),
              CpuMs([&] { (void)PlanShards(&plan.head, before, after); }),
              CpuMs([&] { (void)ParseHead(head); }),
              CpuMs([&] { (void)Assemble(update.head, &before, values); }),
              CpuMs([&] { (void)MakeDelta(before, after); }),
              CpuMs([&] { (void)ApplyDelta(before, delta); }), delta.size());
}

}  // namespace
}  // namespace sapphirestream

int main(int argc, char** argv) {
  using std::chrono::milliseconds;
  using std::chrono::seconds;
  const std::uint64_t seed = argc > 1 ? std::strtoull(argv[1], nullptr, 10) : 1;
  std::printf(
      "writers targets backoff_ms accepted contradicted other   gets   puts"
      "  calls  p50_ms  p99_ms  max_ms\n");
  for (const int base : {1, 10, 50}) {
    const sapphirestream::BackoffOptions backoff{milliseconds(base),
                                                 milliseconds(500)};
    for (const int writers : {1, 2, 8}) {
      sapphirestream::Measure({writers, false, backoff}, seed);
    }
  }
  for (const int writers : {2, 8}) {
    sapphirestream::Measure(
        {writers, true, {milliseconds(50), milliseconds(500)}}, seed);
  }
  std::printf(
      "services targets  shards total_bytes largest_shard head_bytes"
      " changed_shards changed_bytes\n");
  sapphirestream::MeasureSizes(4, 14);
  sapphirestream::MeasureSizes(17'000, 7);
  sapphirestream::MeasureSizes(6, 20'000);
  std::printf(
      "services targets apply_ms plan_ms parse_head assemble make_delta"
      " apply_delta delta_bytes\n");
  sapphirestream::MeasureCpu(4, 14);
  sapphirestream::MeasureCpu(17'000, 7);
  sapphirestream::MeasureCpu(6, 20'000);
  return 0;
}
