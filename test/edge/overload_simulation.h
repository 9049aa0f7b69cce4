// Plays clients, instances and targets with queues in virtual time, with or
// without admission control.
#ifndef SAPPHIRESTREAM_TEST_EDGE_OVERLOAD_SIMULATION_H_
#define SAPPHIRESTREAM_TEST_EDGE_OVERLOAD_SIMULATION_H_

#include <array>
#include <cmath>
#include <deque>
#include <memory>
#include <string>
#include <vector>

#include "sapphirestream/base/hash.h"
#include "sapphirestream/base/random.h"
#include "sapphirestream/edge/overload_admission.h"
#include "test/edge/sample.h"
#include "testing/virtual_time.h"

namespace sapphirestream {

using namespace std::chrono_literals;

struct OverloadPlan {
  bool admission = true;
  // Demand relative to the capacity, before, during and after the peak.
  double usual = 0.5;
  double peak = 3;
  // Share of the openings of the peak that one client sends.
  double greedy_share = 0;
  // Failure domains; instances know the counts of their own domain's instances
  // only.
  std::size_t domains = 1;
  // Demand of the first domain in the peak, relative to that of the others.
  double first_domain = 1;
  // Targets that fail at once.
  std::size_t faulty = 0;
  std::uint64_t seed = 1;
};

struct OverloadResult {
  struct Class {
    std::size_t requests = 0;
    std::size_t in_time = 0;
    [[nodiscard]] double Share() const {
      return static_cast<double>(in_time) / static_cast<double>(requests);
    }
  };
  // Requests of the peak by priority; the last entry is the greedy client.
  std::array<Class, 4> peak{};
  // Requests that began a second after the peak or later.
  Class after;
  std::size_t rejected = 0;
  std::size_t refused_before = 0;
  std::size_t refused = 0;
  // Share of the slots in use during the peak.
  double utilization = 0;
  // From the end of the peak until the last refusal.
  Duration recovery{};
  double admitted_latency_ms = 0;
};

class OverloadSimulation {
 public:
  static constexpr std::size_t kTargets = 12;
  static constexpr std::size_t kInstances = 8;
  static constexpr std::size_t kQueueLimit = 8;
  static constexpr double kServiceTimeMs = 20;
  static constexpr Duration kObjective = 100ms;
  static constexpr Duration kPeakBegin = 2s;
  static constexpr Duration kPeakEnd = 8s;
  static constexpr std::uint32_t kGreedyClient = 7;

  explicit OverloadSimulation(const OverloadPlan& plan)
      : plan_(plan), random_(plan.seed) {
    for (std::size_t i = 0; i < kInstances; ++i) {
      instances_.push_back(std::make_unique<Instance>(*this, i));
    }
  }

  OverloadResult Run() {
    start_ = time_.Now();
    Share();
    Arrive();
    time_.RunFor(kPeakEnd + 4s);
    const double peak_s =
        std::chrono::duration<double>(kPeakEnd - kPeakBegin).count();
    result_.utilization =
        busy_s_ / (peak_s * static_cast<double>(2 * kTargets));
    result_.admitted_latency_ms = latency_ms_ / static_cast<double>(answers_);
    return result_;
  }

 private:
  struct Request {
    TimePoint began;
    std::uint32_t client = 0;
    std::size_t group = 0;
    std::uint32_t attempts = 0;
  };
  struct Job {
    Request request;
    std::size_t instance;
    TimePoint sent;
  };
  struct Server {
    std::uint32_t running = 0;
    std::deque<Job> waiting;
    double failure_share = 0;
  };
  // Knows its own requests at once and those of the others as of the last
  // exchange.
  struct Instance final : PerformanceSource {
    Instance(OverloadSimulation& owner, std::size_t number)
        : simulation(owner),
          index(number),
          targets(routes, DomainName(owner.DomainOf(number))) {
      routes.Apply(sample::Routes(1));
      for (std::size_t key = 0; key < kTargets; ++key) {
        targets.Upsert(
            sample::Target(key, DomainName(simulation.DomainOf(key))),
            {StoreEra{1}, 1}, /*propagated=*/true, simulation.time_.Now());
      }
    }
    [[nodiscard]] const std::vector<EdgeTarget*>& All() {
      return targets.OfService(routes.Number("desk"));
    }
    [[nodiscard]] TargetEstimate Estimate(const EdgeTarget& target,
                                          TimePoint /*now*/) const override {
      const std::size_t key = Value(target.record.key);
      TargetEstimate estimate;
      estimate.outstanding = own.at(key);
      for (const auto& other : simulation.instances_) {
        if (other->index != index &&
            simulation.DomainOf(other->index) == simulation.DomainOf(index)) {
          estimate.outstanding += other->sent.at(key);
        }
      }
      estimate.failure_share = simulation.servers_.at(key).failure_share;
      return estimate;
    }
    [[nodiscard]] std::uint32_t Outstanding(std::size_t key) {
      return Estimate(*targets.Find(TargetKey{key}), {}).outstanding;
    }
    OverloadSimulation& simulation;
    std::size_t index;
    RouteTable routes;
    TargetDirectory targets;
    std::array<std::uint32_t, kTargets> own{};
    std::array<std::uint32_t, kTargets> sent{};
    OverloadAdmission admission{*this, targets};
  };

  static std::string DomainName(std::size_t domain) {
    return std::string(1, static_cast<char>('a' + domain));
  }
  [[nodiscard]] std::size_t DomainOf(std::size_t number) const {
    return number % plan_.domains;
  }
  [[nodiscard]] bool IsPeak(TimePoint at) const {
    return at - start_ >= kPeakBegin && at - start_ < kPeakEnd;
  }
  static Duration Millis(double ms) {
    return std::chrono::duration_cast<Duration>(
        std::chrono::duration<double, std::milli>(ms));
  }
  double ServiceTimeMs() {
    constexpr double sigma = 0.5;
    const double normal = std::sqrt(-2.0 * std::log(1.0 - random_.Unit())) *
                          std::cos(6.283185307179586 * random_.Unit());
    return kServiceTimeMs * std::exp(sigma * normal - sigma * sigma / 2);
  }

  void Share() {
    for (const auto& instance : instances_) instance->sent = instance->own;
    time_.After(100ms, [this] { Share(); });
  }

  void Arrive() {
    const double demand = IsPeak(time_.Now()) ? plan_.peak : plan_.usual;
    const double gap_ms =
        kServiceTimeMs / (static_cast<double>(2 * kTargets) * demand);
    time_.After(Millis(-gap_ms * std::log(1.0 - random_.Unit())), [this] {
      Request request{.began = time_.Now()};
      const bool is_greedy =
          IsPeak(time_.Now()) && random_.Unit() < plan_.greedy_share;
      request.client =
          is_greedy ? kGreedyClient
                    : 100 + static_cast<std::uint32_t>(random_.Below(2000));
      // A fifth of the requests is urgent, half has the middle priority.
      const double kind = random_.Unit();
      request.group = is_greedy ? 3 : kind < 0.2 ? 0 : kind < 0.7 ? 1 : 2;
      if (IsPeak(request.began)) ++result_.peak.at(request.group).requests;
      if (IsAfter(request.began)) ++result_.after.requests;
      Attempt(request);
      Arrive();
    });
  }
  [[nodiscard]] bool IsAfter(TimePoint at) const {
    return at - start_ >= kPeakEnd + 1s;
  }

  void Attempt(Request request) {
    const std::uint64_t hash = random_.Next();
    Instance& instance = SelectInstance();
    ++request.attempts;
    if (plan_.admission && !IsAdmitted(instance, request, hash)) {
      Retry(request);
      return;
    }
    const std::size_t key = Choose(instance, hash);
    Server& server = servers_.at(key);
    const bool fails =
        key < plan_.faulty || server.waiting.size() >= kQueueLimit;
    server.failure_share += ((fails ? 1.0 : 0.0) - server.failure_share) / 16;
    if (fails) {
      if (key >= plan_.faulty) ++result_.rejected;
      Retry(request);
      return;
    }
    ++instance.own.at(key);
    server.waiting.push_back({request, instance.index, time_.Now()});
    StartNext(key);
  }

  Instance& SelectInstance() {
    const double others = static_cast<double>(plan_.domains - 1);
    const double first = IsPeak(time_.Now()) ? plan_.first_domain : 1;
    const bool is_first = random_.Unit() * (first + others) < first;
    const std::size_t domain =
        is_first ? 0 : 1 + random_.Below(plan_.domains - 1);
    const std::size_t row = random_.Below(kInstances / plan_.domains);
    return *instances_[row * plan_.domains + domain];
  }

  bool IsAdmitted(Instance& instance, const Request& request,
                  std::uint64_t hash) {
    const AdmissionVerdict verdict = instance.admission.Admit(
        instance.All(),
        {.client = {request.client, 0},
         .route = {1, static_cast<std::uint16_t>(request.group % 3)},
         .service = instance.routes.Number("desk"),
         .objective = {.target_latency = kObjective,
                       .priority =
                           static_cast<std::uint32_t>(request.group % 3)},
         .flow_hash = hash,
         .now = time_.Now()});
    if (verdict == AdmissionVerdict::kAdmit) return true;
    ++result_.refused;
    if (time_.Now() - start_ < kPeakBegin) ++result_.refused_before;
    if (time_.Now() - start_ >= kPeakEnd) {
      result_.recovery = time_.Now() - start_ - kPeakEnd;
    }
    return false;
  }

  // The less loaded one of two targets; flows leave a domain the more often,
  // the longer its queues are.
  std::size_t Choose(Instance& instance, std::uint64_t hash) {
    std::uint32_t local = 0;
    for (std::size_t key = DomainOf(instance.index); key < kTargets;
         key += plan_.domains) {
      local += instance.Outstanding(key);
    }
    const double per_slot = static_cast<double>(local * plan_.domains) /
                            static_cast<double>(2 * kTargets);
    const bool leaves =
        static_cast<double>(HashPair(hash, 3) % 1000) < (per_slot - 1) * 1000;
    const auto candidate = [&](std::uint64_t draw) -> std::size_t {
      const std::size_t key = HashPair(hash, draw) % kTargets;
      return leaves ? key : key - DomainOf(key) + DomainOf(instance.index);
    };
    const std::size_t a = candidate(1);
    const std::size_t b = candidate(2);
    return instance.Outstanding(a) <= instance.Outstanding(b) ? a : b;
  }

  void Retry(const Request& request) {
    if (request.attempts >= 3) return;
    time_.After(Millis(10 + 20 * random_.Unit()),
                [this, request] { Attempt(request); });
  }

  void StartNext(std::size_t key) {
    Server& server = servers_.at(key);
    if (server.waiting.empty() || server.running == 2) return;
    const Job job = server.waiting.front();
    server.waiting.pop_front();
    ++server.running;
    const double took_ms = ServiceTimeMs();
    if (IsPeak(time_.Now())) busy_s_ += took_ms / 1000;
    time_.After(Millis(took_ms), [this, key, job] {
      --servers_.at(key).running;
      Finish(key, job);
      StartNext(key);
    });
  }

  void Finish(std::size_t key, const Job& job) {
    Instance& instance = *instances_[job.instance];
    --instance.own.at(key);
    const Duration took = time_.Now() - job.sent;
    if (plan_.admission) {
      instance.admission.OnRequest(
          {.target = TargetKey{key},
           .route = {1, static_cast<std::uint16_t>(job.request.group % 3)},
           .took = took,
           .answer_bytes = 1000,
           .at = time_.Now()});
    }
    const bool in_time = time_.Now() - job.request.began <= kObjective;
    if (IsPeak(job.request.began)) {
      latency_ms_ += std::chrono::duration<double, std::milli>(took).count();
      ++answers_;
      if (in_time) ++result_.peak.at(job.request.group).in_time;
    }
    if (IsAfter(job.request.began) && in_time) ++result_.after.in_time;
  }

  OverloadPlan plan_;
  SeededRandom random_;
  testing::VirtualTime time_;
  TimePoint start_{};
  std::array<Server, kTargets> servers_{};
  std::vector<std::unique_ptr<Instance>> instances_;
  OverloadResult result_;
  double busy_s_ = 0;
  double latency_ms_ = 0;
  std::size_t answers_ = 0;
};

}  // namespace sapphirestream

#endif  // SAPPHIRESTREAM_TEST_EDGE_OVERLOAD_SIMULATION_H_
