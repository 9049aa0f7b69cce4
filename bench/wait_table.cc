// Measures how long requests wait for a slot with each placement policy, in
// virtual time: 14 targets with 2 slots, Poisson arrivals, exponential service
// times. docs/decisions/placement.md discusses the results.
//
// Usage: wait_table [seed] [requests]
#include <algorithm>
#include <chrono>
#include <cmath>
#include <cstdio>
#include <cstdlib>
#include <deque>
#include <functional>
#include <memory>
#include <queue>
#include <string>
#include <tuple>
#include <vector>

#include "sapphirestream/base/hash.h"
#include "sapphirestream/base/random.h"
#include "sapphirestream/target/hash_placer.h"
#include "sapphirestream/target/least_load_placer.h"
#include "sapphirestream/target/lookup_table.h"
#include "sapphirestream/target/two_choice_placer.h"

namespace sapphirestream {
namespace {

using std::chrono::milliseconds;

constexpr std::size_t kTargets = 14;
constexpr std::uint32_t kSlots = 2;
constexpr std::size_t kDomains = 4;
constexpr Duration kServiceTime = milliseconds(200);
// Delay until the scheduler receives the end of a request, with the last packet
// of the client.
constexpr Duration kEndDelay = milliseconds(10);
constexpr Duration kPeerDelay = milliseconds(5);
constexpr Duration kCountInterval = milliseconds(100);
constexpr Duration kReportInterval = milliseconds(1000);
constexpr ConfigVersion kVersion{1};

struct Policy {
  std::string name;
  // Number of placers; each gets an equal share of the flows by hash.
  std::size_t placers = 1;
  bool exchanges_counts = false;
  bool has_reports = false;
  std::function<std::unique_ptr<Placer>(const Service&, DomainId)> make;
};

struct Result {
  double mean = 0.0;
  double p99 = 0.0;
  double on_hash_target = 0.0;
  double spilled = 0.0;
};

Service MakeService() {
  Service service;
  service.kind = FlowKind::kRequest;
  service.idempotent = false;
  service.version = kVersion;
  for (std::uint32_t i = 0; i < kTargets; ++i) {
    Target& target = service.targets.emplace_back();
    target.id = TargetId{i + 1};
    target.domain = DomainId{static_cast<std::uint16_t>(i % kDomains)};
    target.slots = kSlots;
  }
  return service;
}

class Simulation {
 public:
  Simulation(const Policy& policy, double load, std::uint64_t seed,
             std::size_t requests)
      : policy_(policy),
        random_(seed),
        requests_(requests),
        mean_gap_(static_cast<double>(kServiceTime.count()) /
                  (load * kTargets * kSlots)),
        service_(MakeService()),
        table_(LookupTable::Build(service_, kVersion)),
        targets_(kTargets) {
    for (std::size_t i = 0; i < policy.placers; ++i) {
      const DomainId domain{static_cast<std::uint16_t>(i % kDomains)};
      placers_.push_back({policy.make(service_, domain), {}});
    }
    waits_.reserve(requests);
  }

  Result Run() {
    Schedule(now_, {.kind = Kind::kArrival});
    for (std::size_t i = 0; policy_.exchanges_counts && i < placers_.size();
         ++i) {
      Schedule(now_ + kCountInterval * i / placers_.size(),
               {.kind = Kind::kSendCounts, .placer = i});
    }
    if (policy_.has_reports) Schedule(now_, {.kind = Kind::kReports});
    while (waits_.size() < requests_) {
      const Event event = events_.top();
      events_.pop();
      now_ = event.time;
      Handle(event);
    }
    return Summarize();
  }

 private:
  enum class Kind { kArrival, kDone, kEnd, kSendCounts, kCounts, kReports };
  struct Event {
    Kind kind = Kind::kArrival;
    std::size_t placer = 0;
    std::size_t target = 0;
    std::size_t from = 0;
    std::vector<PlacementCount> counts = {};
    TimePoint time = {};
    std::uint64_t order = 0;
    bool operator>(const Event& other) const {
      return std::tie(time, order) > std::tie(other.time, other.order);
    }
  };
  struct Job {
    TimePoint arrived;
    std::size_t placer = 0;
  };
  struct Waiting {
    TimePoint arrived;
    PlacementRequest request;
  };
  struct PlacerNode {
    std::unique_ptr<Placer> placer;
    std::deque<Waiting> queue;
  };
  // A target that serves up to kSlots requests at once and queues the others in
  // order of arrival.
  struct Server {
    std::uint32_t busy = 0;
    std::deque<Job> queue;
  };

  void Schedule(TimePoint time, Event event) {
    event.time = time;
    event.order = next_order_++;
    events_.push(std::move(event));
  }
  Duration Exponential(double mean) {
    return Duration(
        static_cast<std::int64_t>(-mean * std::log1p(-random_.Unit())));
  }

  void Handle(const Event& event) {
    switch (event.kind) {
      case Kind::kArrival:
        return Arrive();
      case Kind::kDone:
        return Finish(event.target, event.placer);
      case Kind::kEnd:
        placers_[event.placer].placer->End(service_.targets[event.target].id,
                                           now_);
        return Retry(placers_[event.placer], event.placer);
      case Kind::kSendCounts:
        return SendCounts(event.placer);
      case Kind::kCounts:
        placers_[event.placer].placer->SetPeerCounts(
            InstanceId{static_cast<std::uint32_t>(event.from + 1)},
            event.counts, now_);
        return Retry(placers_[event.placer], event.placer);
      case Kind::kReports:
        return SendReports();
    }
  }

  void Arrive() {
    const std::uint64_t hash = random_.Next();
    const std::size_t at = HashPair(hash, 7) % placers_.size();
    placers_[at].queue.push_back(
        {now_, {.flow_hash = hash, .hash_target = table_.At(hash)}});
    Retry(placers_[at], at);
    Schedule(now_ + Exponential(mean_gap_), {.kind = Kind::kArrival});
  }

  // Places the waiting requests, oldest first.
  void Retry(PlacerNode& node, std::size_t at) {
    while (!node.queue.empty()) {
      Waiting& first = node.queue.front();
      first.request.waited = now_ - first.arrived;
      const Placement placement = node.placer->Place(first.request, now_);
      if (placement.kind != PlacementKind::kPlaced) return;
      ++placed_;
      if (placement.target == first.request.hash_target) ++on_hash_target_;
      if (placement.spilled) ++spilled_;
      const std::size_t target = Value(placement.target) - 1;
      targets_[target].queue.push_back({first.arrived, at});
      node.queue.pop_front();
      Serve(target);
    }
  }

  void Serve(std::size_t at) {
    Server& server = targets_[at];
    while (server.busy < kSlots && !server.queue.empty()) {
      const Job job = server.queue.front();
      server.queue.pop_front();
      ++server.busy;
      waits_.push_back(static_cast<double>((now_ - job.arrived).count()) /
                       static_cast<double>(kServiceTime.count()));
      Schedule(now_ + Exponential(static_cast<double>(kServiceTime.count())),
               {.kind = Kind::kDone, .placer = job.placer, .target = at});
    }
  }

  void Finish(std::size_t target, std::size_t placer) {
    --targets_[target].busy;
    Schedule(now_ + kEndDelay,
             {.kind = Kind::kEnd, .placer = placer, .target = target});
    Serve(target);
  }

  void SendCounts(std::size_t from) {
    for (std::size_t to = 0; to < placers_.size(); ++to) {
      if (to == from) continue;
      Schedule(now_ + kPeerDelay,
               {.kind = Kind::kCounts,
                .placer = to,
                .from = from,
                .counts = placers_[from].placer->OwnCounts()});
    }
    Schedule(now_ + kCountInterval,
             {.kind = Kind::kSendCounts, .placer = from});
  }

  void SendReports() {
    for (std::size_t t = 0; t < kTargets; ++t) {
      const auto busy = static_cast<std::uint32_t>(targets_[t].busy +
                                                   targets_[t].queue.size());
      for (PlacerNode& node : placers_) {
        node.placer->Report({.target = service_.targets[t].id,
                             .busy_slots = busy,
                             .open_connections = busy,
                             .taken = now_},
                            now_);
      }
    }
    Schedule(now_ + kReportInterval, {.kind = Kind::kReports});
  }

  // Leaves out the first tenth of the requests as warm-up.
  Result Summarize() {
    std::vector<double> waits(
        waits_.begin() + static_cast<std::ptrdiff_t>(waits_.size() / 10),
        waits_.end());
    double sum = 0.0;
    for (const double wait : waits) sum += wait;
    const auto p99 =
        waits.begin() + static_cast<std::ptrdiff_t>(waits.size() * 99 / 100);
    std::nth_element(waits.begin(), p99, waits.end());
    const auto placed = static_cast<double>(placed_);
    return {.mean = sum / static_cast<double>(waits.size()),
            .p99 = *p99,
            .on_hash_target = static_cast<double>(on_hash_target_) / placed,
            .spilled = static_cast<double>(spilled_) / placed};
  }

  const Policy& policy_;
  SeededRandom random_;
  std::size_t requests_;
  double mean_gap_;
  Service service_;
  LookupTable table_;
  std::vector<Server> targets_;
  std::vector<PlacerNode> placers_;
  std::vector<double> waits_;
  std::size_t placed_ = 0;
  std::size_t on_hash_target_ = 0;
  std::size_t spilled_ = 0;
  TimePoint now_{std::chrono::seconds(1000)};
  std::uint64_t next_order_ = 0;
  std::priority_queue<Event, std::vector<Event>, std::greater<>> events_;
};

std::vector<Policy> MakePolicies() {
  const auto hash = [](const Service&, DomainId) {
    return std::make_unique<HashPlacer>();
  };
  const auto two_choices = [](const Service& service, DomainId) {
    return std::make_unique<TwoChoicePlacer>(service);
  };
  const auto least_load = [](const Service& service, DomainId domain) {
    return std::make_unique<LeastLoadPlacer>(service, Preset{}, domain);
  };
  return {
      {.name = "plain hash", .make = hash},
      {.name = "two choices, 8 instances, local counts",
       .placers = 8,
       .make = two_choices},
      {.name = "two choices, 8 instances, reports each 1 s",
       .placers = 8,
       .has_reports = true,
       .make = two_choices},
      {.name = "one scheduler", .make = least_load},
      {.name = "four schedulers",
       .placers = kDomains,
       .exchanges_counts = true,
       .make = least_load},
      {.name = "four schedulers, reports each 1 s",
       .placers = kDomains,
       .exchanges_counts = true,
       .has_reports = true,
       .make = least_load},
  };
}

void Run(std::uint64_t seed, std::size_t requests) {
  std::printf("seed %llu, %zu requests; waits in units of the service time\n",
              static_cast<unsigned long long>(seed), requests);
  std::printf("%-44s %5s %8s %8s %8s %8s %8s\n", "placement", "load", "mean",
              "p99", "/hash", "on hash", "spilled");
  for (const double load : {0.6, 0.8}) {
    double hash_p99 = 0.0;
    for (const Policy& policy : MakePolicies()) {
      const Result r = Simulation(policy, load, seed, requests).Run();
      if (hash_p99 == 0.0) hash_p99 = r.p99;
      std::printf("%-44s %4.0f%% %8.3f %8.3f %8.3f %7.1f%% %7.1f%%\n",
                  policy.name.c_str(), 100 * load, r.mean, r.p99,
                  r.p99 / hash_p99, 100 * r.on_hash_target, 100 * r.spilled);
      std::fflush(stdout);
    }
  }
}

}  // namespace
}  // namespace sapphirestream

int main(int argc, char** argv) {
  const std::uint64_t seed = argc > 1 ? std::strtoull(argv[1], nullptr, 10) : 1;
  const std::size_t requests =
      argc > 2 ? std::strtoull(argv[2], nullptr, 10) : 1'000'000;
  sapphirestream::Run(seed, requests);
}
