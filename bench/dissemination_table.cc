// Measures in virtual time how long a configuration change takes to reach the
// last instance, and how much control traffic and how many store calls it
// causes. The results are discussed in docs/decisions/dissemination.md.
#include <algorithm>
#include <chrono>
#include <cstdint>
#include <cstdio>
#include <map>
#include <vector>

#include "bench/dissemination_table/store_model.h"
#include "bench/dissemination_table/wire_size.h"
#include "testing/domain_cluster.h"

namespace sapphirestream::internal {
namespace {

constexpr std::uint64_t kSeed = 20261204;
// Number of domains, and of instances in each.
constexpr std::uint32_t kSizes[][2] = {{3, 1}, {3, 3}, {3, 6}, {4, 9}};

struct Scenario {
  std::uint32_t domains;
  std::uint32_t instances_per_domain;
  double loss;
  Duration change_interval;
  int changes;
  bool all_instances_watch;
};

struct Traffic {
  std::uint64_t sent = 0;
  std::uint64_t received = 0;
};

// When a version was accepted, prepared by all instances and active on all.
struct Change {
  TimePoint accepted;
  TimePoint prepared;
  TimePoint active;
};

class Run {
 public:
  explicit Run(const Scenario& scenario)
      : scenario_(scenario),
        cluster_({.seed = kSeed,
                  .loss = scenario.loss,
                  .tick = std::chrono::milliseconds(10)}),
        store_(cluster_, kSeed + 1, scenario.all_instances_watch) {}

  void Measure() {
    const std::uint32_t size = scenario_.instances_per_domain;
    for (std::uint32_t i = 0; i < scenario_.domains * size; ++i) {
      cluster_.Start(i + 1, static_cast<std::uint16_t>(i / size + 1));
    }
    cluster_.Run(std::chrono::seconds(20), [this] { store_.OnTick(); });
    cluster_.on_send = [this](const testing::DomainCluster::Node& from,
                              InstanceId to, const DomainMessage& message) {
      const std::size_t bytes = WireSize(message);
      traffic_[from.id].sent += bytes;
      traffic_[to].received += bytes;
    };
    const std::uint64_t calls_before = store_.calls();
    const TimePoint start = cluster_.now();
    for (int i = 0; i < scenario_.changes; ++i) {
      store_.Accept();
      changes_.push_back({cluster_.now(), {}, {}});
      cluster_.Run(scenario_.change_interval, [this] {
        store_.OnTick();
        RecordProgress();
      });
    }
    seconds_ = std::chrono::duration<double>(cluster_.now() - start).count();
    calls_ = store_.calls() - calls_before;
    cluster_.Run(std::chrono::seconds(10), [this] { RecordProgress(); });
  }

  void Print() const {
    std::vector<double> prepared;
    std::vector<double> active;
    for (const Change& change : changes_) {
      prepared.push_back(Milliseconds(change.prepared - change.accepted));
      active.push_back(Milliseconds(change.active - change.accepted));
    }
    double mean = 0;
    double worst_sent = 0;
    double worst_received = 0;
    for (const auto& [id, traffic] : traffic_) {
      const double sent = static_cast<double>(traffic.sent) / seconds_;
      mean += sent / static_cast<double>(traffic_.size());
      worst_sent = std::max(worst_sent, sent);
      worst_received = std::max(
          worst_received, static_cast<double>(traffic.received) / seconds_);
    }
    std::printf("| %u x %u | %2.0f%% | %s | %s |", scenario_.domains,
                scenario_.instances_per_domain, scenario_.loss * 100,
                scenario_.change_interval > std::chrono::seconds(10)
                    ? "1/min"
                    : "56,000/day",
                scenario_.all_instances_watch ? "all" : "readers");
    PrintTimes(prepared);
    PrintTimes(active);
    std::printf(" %.0f | %.0f | %.0f | %.2f |\n", mean, worst_sent,
                worst_received, static_cast<double>(calls_) / seconds_);
  }

 private:
  static double Milliseconds(Duration time) {
    return std::chrono::duration<double, std::milli>(time).count();
  }
  static void PrintTimes(std::vector<double> times) {
    std::sort(times.begin(), times.end());
    std::printf(" %.0f / %.0f / %.0f |", times[times.size() / 2],
                times[times.size() * 99 / 100], times.back());
  }

  // Records the time for versions that have newly reached all instances.
  void RecordProgress() {
    ConfigVersion prepared{UINT64_MAX};
    ConfigVersion active{UINT64_MAX};
    for (const auto& [id, node] : cluster_.nodes()) {
      prepared = std::min(prepared, node->dissemination.prepared());
      active = std::min(active, node->dissemination.active());
    }
    for (; prepared_ < Value(prepared); ++prepared_) {
      changes_[prepared_].prepared = cluster_.now();
    }
    for (; active_ < Value(active); ++active_) {
      changes_[active_].active = cluster_.now();
    }
  }

  Scenario scenario_;
  testing::DomainCluster cluster_;
  StoreModel store_;
  std::map<InstanceId, Traffic> traffic_;
  std::vector<Change> changes_;
  // Number of versions that all instances have prepared and activated.
  std::uint64_t prepared_ = 0;
  std::uint64_t active_ = 0;
  double seconds_ = 0;
  std::uint64_t calls_ = 0;
};

void PrintTable() {
  std::printf(
      "Seed %llu. Times in ms from acceptance until the last instance: median "
      "/ 99th percentile / last.\nBytes a second for one instance.\n\n"
      "| instances | loss | changes | watching | prepared | active | sent, "
      "mean "
      "| sent, worst | received, worst | store calls/s |\n"
      "|---|---|---|---|---|---|---|---|---|---|\n",
      static_cast<unsigned long long>(kSeed));
  for (const bool all_watch : {false, true}) {
    for (const auto& [domains, size] : kSizes) {
      for (const double loss : {0.0, 0.02, 0.1}) {
        for (const bool has_frequent_changes : {false, true}) {
          Scenario scenario{domains, size,     loss, std::chrono::seconds(60),
                            40,      all_watch};
          if (has_frequent_changes) {
            scenario.change_interval = std::chrono::milliseconds(1'540);
            scenario.changes = 400;
          }
          Run run(scenario);
          run.Measure();
          run.Print();
          std::fflush(stdout);
        }
      }
    }
  }
}

}  // namespace
}  // namespace sapphirestream::internal

int main() {
  sapphirestream::internal::PrintTable();
  return 0;
}
