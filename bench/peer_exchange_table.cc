// Prints how fast instances find each other, and the traffic of the exchange of
// observations. Runs in virtual time with a fixed seed, so that the same
// arguments always print the same table.
//
//   peer_exchange_table                    the sizes of today's deployments
//   peer_exchange_table INSTANCES DOMAINS START_S TOTAL_S   one large fleet
#include <algorithm>
#include <cstdio>
#include <cstdlib>
#include <map>
#include <span>
#include <string>
#include <vector>

#include "testing/peer_network.h"

namespace sapphirestream::testing {
namespace {

constexpr std::size_t kSeeds = 3;
constexpr Duration kStep = std::chrono::milliseconds(50);
constexpr int kStepsPerSecond = 20;

struct Scenario {
  std::size_t instances = 76;
  std::size_t domains = 1;
  double start_seconds = 0.3;
  // Seeds whose machine no longer runs an instance.
  std::size_t stale_seeds = 0;
  double requests_per_second = 20;
  std::uint64_t targets = 120;
  double loss = 0.01;
};

class Run {
 public:
  explicit Run(const Scenario& scenario) : scenario_(scenario) {
    network_.loss = scenario.loss;
    constexpr std::size_t unused = 1'000'000;
    for (std::size_t i = 0; i < kSeeds; ++i) {
      seeds_.push_back(PeerAddress(i < scenario.stale_seeds ? unused + i : i));
    }
    for (std::size_t i = 0; i < scenario.instances; ++i) {
      const double at =
          i < kSeeds ? 0 : network_.random.Unit() * scenario.start_seconds;
      starts_.emplace(at, i);
    }
  }

  void Advance(double seconds) {
    const int steps = static_cast<int>(seconds * kStepsPerSecond);
    for (int i = 0; i < steps; ++i) {
      while (!starts_.empty() && starts_.begin()->first <= Now()) {
        const std::size_t number = starts_.begin()->second;
        network_.Start(number, "d" + std::to_string(number % scenario_.domains),
                       seeds_);
        starts_.erase(starts_.begin());
      }
      for (auto& [address, node] : network_.nodes) Observe(*node);
      network_.Run(kStep);
    }
  }
  void PrintRow(double seconds_since_last) {
    double known = 0;
    double neighbors = 0;
    double bytes = 0;
    double max_bytes = 0;
    for (const auto& [address, node] : network_.nodes) {
      known += static_cast<double>(node->exchange->known_peers());
      neighbors += static_cast<double>(node->exchange->neighbors());
      const double total = PeerNetwork::Bytes(node->counters);
      const double rate = (total - last_bytes_[address]) / seconds_since_last;
      last_bytes_[address] = total;
      bytes += rate;
      max_bytes = std::max(max_bytes, rate);
    }
    const auto size = static_cast<double>(network_.nodes.size());
    std::printf("%6zu %7zu %5zu %6.0f %7.1f %9.1f %9.1f %9.0f %9.0f\n",
                network_.nodes.size(), scenario_.domains, scenario_.stale_seeds,
                scenario_.requests_per_second, Now(), known / size,
                neighbors / size, bytes / size, max_bytes);
    std::fflush(stdout);
  }

 private:
  [[nodiscard]] double Now() const {
    return std::chrono::duration<double>(network_.clock.Now() - begin_).count();
  }
  // Each request is counted as outstanding in one step and ends in the next.
  void Observe(PeerNetwork::Node& node) {
    std::map<TargetKey, TargetSamples> samples;
    for (const std::uint64_t target : open_[node.number]) {
      const TargetSamples ended = Samples(target, 1);
      samples.emplace(ended.target, ended);
    }
    open_[node.number].clear();
    double expected = scenario_.requests_per_second / kStepsPerSecond;
    for (; network_.random.Unit() < expected; --expected) {
      const std::uint64_t target = 1 + network_.random.Below(scenario_.targets);
      open_[node.number].push_back(target);
      auto& entry = samples[Samples(target, 0).target];
      const std::uint32_t count = entry.count;
      entry = Samples(target, count, 1);
    }
    for (const auto& [target, entry] : samples) node.store.own.push_back(entry);
  }

  Scenario scenario_;
  PeerNetwork network_{1};
  TimePoint begin_ = network_.clock.Now();
  std::vector<V4Endpoint> seeds_;
  std::multimap<double, std::size_t> starts_;
  std::map<std::size_t, std::vector<std::uint64_t>> open_;
  std::map<std::uint32_t, double> last_bytes_;
};

void PrintTitle() {
  std::printf("%6s %7s %5s %6s %7s %9s %9s %9s %9s\n", "nodes", "domains",
              "stale", "req/s", "t", "known", "neighbors", "B/s mean",
              "B/s max");
}

void PrintDeployments() {
  PrintTitle();
  for (const Scenario& scenario :
       {Scenario{.instances = 9}, Scenario{.instances = 65, .domains = 3},
        Scenario{.instances = 76}, Scenario{.instances = 76, .domains = 3},
        Scenario{.instances = 76, .domains = 3, .stale_seeds = 2},
        Scenario{.instances = 76, .requests_per_second = 0},
        Scenario{.instances = 76, .requests_per_second = 120},
        Scenario{.instances = 300, .domains = 3}}) {
    Run run(scenario);
    run.Advance(1);
    run.PrintRow(1);
    run.Advance(1);
    run.PrintRow(1);
    run.Advance(3);
    run.PrintRow(3);
    run.Advance(5);
    run.PrintRow(5);
  }
}

}  // namespace
}  // namespace sapphirestream::testing

int main(int argc, char** argv) {
  using namespace sapphirestream::testing;  // NOLINT: only names of this file
  const std::span arguments(argv, static_cast<std::size_t>(argc));
  if (arguments.size() < 5) {
    PrintDeployments();
    return 0;
  }
  Scenario scenario;
  scenario.instances = std::strtoul(arguments[1], nullptr, 10);
  scenario.domains = std::strtoul(arguments[2], nullptr, 10);
  scenario.start_seconds = std::strtod(arguments[3], nullptr);
  const auto seconds = std::strtoul(arguments[4], nullptr, 10);
  PrintTitle();
  Run run(scenario);
  for (std::size_t i = 0; i < seconds; ++i) {
    run.Advance(1);
    run.PrintRow(1);
  }
  return 0;
}
