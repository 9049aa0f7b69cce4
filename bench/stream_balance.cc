// Measures the imbalance (peak-to-mean ratio over targets) of the open flows of
// a service with long-lived flows, in virtual time. A share of the flows on 14
// targets in four domains is placed by four schedulers and the rest by hash.
// Counts are exchanged every 100 ms; reports are sent once per second and
// arrive after 50 ms. docs/decisions/placement.md discusses the results.
//
// Usage: stream_balance [seed]
#include <algorithm>
#include <chrono>
#include <cmath>
#include <cstdio>
#include <cstdlib>
#include <deque>
#include <memory>
#include <queue>
#include <string>
#include <vector>

#include "sapphirestream/base/hash.h"
#include "sapphirestream/base/random.h"
#include "sapphirestream/target/least_load_placer.h"
#include "sapphirestream/target/lookup_table.h"

namespace sapphirestream {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr std::uint32_t kTargets = 14;
constexpr std::size_t kDomains = 4;
constexpr double kFlowsPerTarget = 1000;
constexpr Duration kFlowTime = seconds(600);
constexpr Duration kStep = milliseconds(10);
constexpr Duration kReportDelay = milliseconds(50);
constexpr ConfigVersion kVersion{1};

struct Scenario {
  std::string name;
  std::uint32_t load_share_permille = 200;
  // Whether targets send reports.
  bool has_reports = true;
  // Whether target 1 always reports zero connections.
  bool has_false_report = false;
  // Whether target 1 is drained and a new target added after the warm-up.
  bool has_change = false;
};

struct Flow {
  TimePoint end;
  std::size_t target = 0;
  // Index of the scheduler that placed the flow; kDomains if placed by hash.
  std::size_t scheduler = 0;
  bool operator>(const Flow& other) const { return end > other.end; }
};

class Simulation {
 public:
  Simulation(const Scenario& scenario, std::uint64_t seed)
      : scenario_(scenario), random_(seed) {
    service_.version = kVersion;
    for (std::uint32_t i = 0; i < kTargets; ++i) AddTarget();
    preset_.load_share_permille = scenario.load_share_permille;
    for (std::size_t d = 0; d < kDomains; ++d) {
      schedulers_.push_back(std::make_unique<LeastLoadPlacer>(
          service_, preset_, DomainId{static_cast<std::uint16_t>(d)}));
    }
    table_ = LookupTable::Build(service_, kVersion);
  }

  void Run() {
    // The warm-up takes six mean flow lifetimes, after which the flows are in
    // steady state.
    const TimePoint measure_start = now_ + 6 * kFlowTime;
    const TimePoint end = measure_start + 2 * kFlowTime;
    double sum = 0.0;
    double worst = 0.0;
    std::size_t count = 0;
    TimePoint balanced = measure_start;
    while (now_ < end) {
      if (scenario_.has_change && now_ == measure_start) Change();
      Step();
      if (now_ <= measure_start) continue;
      const double imbalance = Imbalance();
      if (imbalance > 1.05) balanced = now_;
      sum += imbalance;
      worst = std::max(worst, imbalance);
      ++count;
    }
    std::printf("%-44s %8.3f %8.3f %10.0f %8.1f%%\n", scenario_.name.c_str(),
                sum / static_cast<double>(count), worst,
                std::chrono::duration<double>(balanced - measure_start).count(),
                placed_ > 0 ? 100.0 * static_cast<double>(spilled_) /
                                  static_cast<double>(placed_)
                            : 0.0);
    std::fflush(stdout);
  }

 private:
  void AddTarget() {
    const auto i = static_cast<std::uint32_t>(service_.targets.size());
    Target& target = service_.targets.emplace_back();
    target.id = TargetId{i + 1};
    target.domain = DomainId{static_cast<std::uint16_t>(i % kDomains)};
    open_.push_back(0);
  }

  void Change() {
    service_.targets[0].drained = kVersion;
    AddTarget();
    table_ = LookupTable::Build(service_, kVersion);
    for (auto& scheduler : schedulers_) scheduler->Update(service_, preset_);
  }

  void Step() {
    now_ += kStep;
    while (!flows_.empty() && flows_.top().end <= now_) End();
    const double rate = kFlowsPerTarget * kTargets /
                        static_cast<double>(kFlowTime.count()) *
                        static_cast<double>(kStep.count());
    for (pending_ += rate; pending_ >= 1.0; pending_ -= 1.0) Begin();
    const auto tick = (now_.time_since_epoch() / kStep);
    if (tick % 10 == 0) ExchangeCounts();
    if (scenario_.has_reports && tick % 100 == 0) CollectReports();
    DeliverReports();
  }

  void Begin() {
    const std::uint64_t hash = random_.Next();
    Flow flow{.end = now_ + Lifetime(), .scheduler = kDomains};
    TargetId target = table_.At(hash);
    // The low bits are independent of the bucket.
    if (hash % 1000 < scenario_.load_share_permille) {
      flow.scheduler = HashPair(hash, 7) % kDomains;
      const Placement placement = schedulers_[flow.scheduler]->Place(
          {.flow_hash = hash, .hash_target = target}, now_);
      target = placement.target;
      ++placed_;
      if (placement.spilled) ++spilled_;
    }
    flow.target = Value(target) - 1;
    ++open_[flow.target];
    flows_.push(flow);
  }

  Duration Lifetime() {
    return Duration(static_cast<std::int64_t>(
        -static_cast<double>(kFlowTime.count()) * std::log1p(-random_.Unit())));
  }

  void End() {
    const Flow& flow = flows_.top();
    --open_[flow.target];
    if (flow.scheduler < kDomains) {
      schedulers_[flow.scheduler]->End(service_.targets[flow.target].id, now_);
    }
    flows_.pop();
  }

  void ExchangeCounts() {
    for (std::size_t from = 0; from < kDomains; ++from) {
      const auto counts = schedulers_[from]->OwnCounts();
      for (std::size_t to = 0; to < kDomains; ++to) {
        if (to == from) continue;
        schedulers_[to]->SetPeerCounts(
            InstanceId{static_cast<std::uint32_t>(from + 1)}, counts, now_);
      }
    }
  }

  void CollectReports() {
    for (std::size_t t = 0; t < open_.size(); ++t) {
      const bool is_false = scenario_.has_false_report && t == 0;
      reports_.push_back({.target = service_.targets[t].id,
                          .open_connections = is_false ? 0 : open_[t],
                          .taken = now_});
    }
  }

  void DeliverReports() {
    while (!reports_.empty() && now_ - reports_.front().taken >= kReportDelay) {
      for (auto& scheduler : schedulers_) {
        scheduler->Report(reports_.front(), now_);
      }
      reports_.pop_front();
    }
  }

  // Returns the peak-to-mean ratio of open flows over the targets that accept
  // new flows.
  [[nodiscard]] double Imbalance() const {
    double sum = 0.0;
    double peak = 0.0;
    double count = 0.0;
    for (std::size_t t = 0; t < open_.size(); ++t) {
      if (service_.targets[t].drained != ConfigVersion{}) continue;
      sum += open_[t];
      peak = std::max(peak, static_cast<double>(open_[t]));
      ++count;
    }
    return sum > 0.0 ? peak * count / sum : 1.0;
  }

  const Scenario& scenario_;
  SeededRandom random_;
  Service service_;
  Preset preset_;
  LookupTable table_;
  std::vector<std::unique_ptr<LeastLoadPlacer>> schedulers_;
  std::vector<std::uint32_t> open_;
  std::priority_queue<Flow, std::vector<Flow>, std::greater<>> flows_;
  std::deque<LoadReport> reports_;
  std::size_t placed_ = 0;
  std::size_t spilled_ = 0;
  double pending_ = 0.0;
  TimePoint now_{seconds(1000)};
};

void Run(std::uint64_t seed) {
  std::printf("seed %llu, %u targets, %.0f flows each\n",
              static_cast<unsigned long long>(seed), kTargets, kFlowsPerTarget);
  std::printf("%-44s %8s %8s %10s %9s\n", "scenario", "mean", "worst",
              "last >1.05", "spilled");
  const Scenario scenarios[] = {
      {.name = "all by hash", .load_share_permille = 0},
      {.name = "share 100", .load_share_permille = 100},
      {.name = "share 200"},
      {.name = "share 200, no reports", .has_reports = false},
      {.name = "share 200, one false report", .has_false_report = true},
      {.name = "share 200, one drained, one added", .has_change = true},
      {.name = "share 1000", .load_share_permille = 1000},
  };
  for (const Scenario& scenario : scenarios) Simulation(scenario, seed).Run();
}

}  // namespace
}  // namespace sapphirestream

int main(int argc, char** argv) {
  sapphirestream::Run(argc > 1 ? std::strtoull(argv[1], nullptr, 10) : 1);
}
