#include "test/edge/load_simulation.h"

#include <algorithm>
#include <cmath>
#include <utility>

#include "sapphirestream/base/id.h"
#include "test/edge/load_instance.h"
#include "test/edge/sample.h"

namespace sapphirestream::load {
namespace {

using namespace std::chrono_literals;

// Time within the domain for the opening handshake and the answer.
constexpr Duration kRejectionTime = 1ms;
// When a client first sends its opening packet again.
constexpr Duration kCopyDelay = 200ms;
// One of so many flows is checked for the target of its copy.
constexpr std::uint64_t kFlowsPerCopy = 8;
// Network, UDP and message headers, and the fields of TargetSamples.
constexpr std::size_t kHeaderBytes = 28 + 40;
constexpr std::size_t kSampleBytes = 28;
constexpr std::size_t kMaxMessageBytes = 1200;

std::string DomainName(std::size_t domain) {
  return std::string(1, static_cast<char>('a' + domain));
}

Duration Millis(double ms) {
  return std::chrono::duration_cast<Duration>(
      std::chrono::duration<double, std::milli>(ms));
}

}  // namespace

Duration Result::Percentile(double share) {
  if (waits.empty()) return {};
  std::sort(waits.begin(), waits.end());
  return waits.at(
      static_cast<std::size_t>(share * static_cast<double>(waits.size() - 1)));
}

double Result::ServedInTime() const {
  const double all = static_cast<double>(waits.size() + rejected);
  return (static_cast<double>(waits.size()) - static_cast<double>(late)) / all;
}

LoadSimulation::LoadSimulation(const Load& load)
    : load_(load),
      random_(load.seed),
      copy_random_(load.seed),
      measured_from_(time_.Now() + load.warm_up) {
  AddTargets();
  AddInstances();
}

LoadSimulation::~LoadSimulation() = default;

void LoadSimulation::AddTargets() {
  servers_.resize(1);
  for (std::size_t domain = 0; domain < load_.targets.size(); ++domain) {
    for (std::uint32_t i = 0; i < load_.targets.at(domain); ++i) {
      TargetRecord record = sample::Target(servers_.size(), DomainName(domain));
      record.slots = kSlots;
      records_.push_back(record);
      servers_.emplace_back().request_time =
          load_.request_times.at(records_.size() % load_.request_times.size());
    }
  }
}

void LoadSimulation::AddInstances() {
  for (std::size_t domain = 0; domain < load_.instances.size(); ++domain) {
    for (std::uint32_t i = 0; i < load_.instances.at(domain); ++i) {
      instances_[domain].push_back(std::make_unique<SimulatedInstance>(
          PeerId{++instance_count_}, load_.policy, records_,
          DomainName(domain)));
      if (load_.exchange_interval > Duration::zero()) {
        // At different times, as instances start at different times.
        time_.After(load_.exchange_interval * i / load_.instances.at(domain),
                    [this, domain, i] { Exchange(domain, i); });
      }
    }
  }
}

Result LoadSimulation::Run() {
  for (std::size_t domain = 0; domain < load_.instances.size(); ++domain) {
    ScheduleArrival(domain);
  }
  time_.RunFor(load_.warm_up);
  for (std::size_t key = 1; key < servers_.size(); key += 4) {
    servers_[key].request_time *= load_.slowdown;
  }
  messages_ = bytes_ = 0;
  time_.RunFor(load_.measured);
  return Summarize();
}

bool LoadSimulation::IsMeasured(TimePoint at) const {
  return at >= measured_from_;
}

double LoadSimulation::Exponential(double mean) {
  return -mean * std::log(1.0 - random_.Unit());
}

double LoadSimulation::ServiceTime() {
  constexpr double sigma = 0.5;
  constexpr double two_pi = 6.283185307179586;
  const double normal = std::sqrt(-2.0 * std::log(1.0 - random_.Unit())) *
                        std::cos(two_pi * random_.Unit());
  return kMeanServiceTimeMs * std::exp(sigma * normal - sigma * sigma / 2);
}

void LoadSimulation::ScheduleArrival(std::size_t domain) {
  const double slots = load_.targets.at(domain) * kSlots;
  double factor = domain == 0 ? load_.peak_factor : 1.0;
  if (IsMeasured(time_.Now())) factor *= load_.burst_factor;
  const double mean_gap =
      kMeanServiceTimeMs / (slots * load_.utilization * factor);
  time_.After(Millis(Exponential(mean_gap)), [this, domain] {
    Arrive(domain);
    ScheduleArrival(domain);
  });
}

void LoadSimulation::Arrive(std::size_t domain) {
  auto& instances = instances_.at(domain);
  SimulatedInstance& instance = *instances[random_.Below(instances.size())];
  const std::uint64_t hash = random_.Next();
  EdgeTarget* const target = instance.Choose(hash, time_.Now());
  ++target->outstanding;
  if (IsMeasured(time_.Now())) {
    ++result_.placed;
    if (!target->is_local) ++result_.crossed;
  }
  const TargetKey key = target->record.key;
  if (hash % kFlowsPerCopy == 0 && instances.size() > 1) {
    time_.After(kCopyDelay,
                [this, domain, hash, key] { CheckCopy(domain, hash, key); });
  }
  const Job job{&instance, key, time_.Now(), time_.Now()};
  // The opening packet, its answer and the request.
  const Duration way = target->is_local ? Duration::zero() : 3 * load_.crossing;
  if (way == Duration::zero()) {
    Enqueue(job);
  } else {
    time_.After(way, [this, job] { Enqueue(job); });
  }
}

void LoadSimulation::Enqueue(Job job) {
  Server& server = servers_.at(Value(job.target));
  if (server.waiting.size() >= kQueueLimit) {
    Reject(job);
    return;
  }
  job.queued = time_.Now();
  server.waiting.push_back(job);
  StartNext(job.target);
}

void LoadSimulation::Reject(const Job& job) {
  if (IsMeasured(job.arrived)) ++result_.rejected;
  const Duration took = time_.Now() - job.arrived + kRejectionTime;
  time_.After(kRejectionTime, [this, job, took] {
    job.instance->OnFinished(job.target, took, /*accepted=*/false, time_.Now());
  });
}

void LoadSimulation::StartNext(TargetKey key) {
  Server& server = servers_.at(Value(key));
  if (server.waiting.empty() || server.running == kSlots) return;
  const Job job = server.waiting.front();
  server.waiting.pop_front();
  ++server.running;
  const Duration service = Millis(ServiceTime() * server.request_time);
  if (IsMeasured(job.arrived)) {
    result_.waits.push_back(time_.Now() - job.queued);
    server.busy += service;
  }
  time_.After(service, [this, job] { Finish(job); });
}

void LoadSimulation::Finish(const Job& job) {
  --servers_.at(Value(job.target)).running;
  const bool is_local = job.instance->targets().Find(job.target)->is_local;
  const Duration took = time_.Now() - job.arrived +
                        (is_local ? Duration::zero() : load_.crossing);
  if (IsMeasured(job.arrived) && took > kCallerTimeout) ++result_.late;
  job.instance->OnFinished(job.target, took, /*accepted=*/true, time_.Now());
  StartNext(job.target);
}

void LoadSimulation::CheckCopy(std::size_t domain, std::uint64_t hash,
                               TargetKey target) {
  if (!IsMeasured(time_.Now() - kCopyDelay)) return;
  auto& instances = instances_.at(domain);
  SimulatedInstance& other = *instances[copy_random_.Below(instances.size())];
  ++result_.copies;
  if (other.Choose(hash, time_.Now())->record.key == target) {
    ++result_.copies_on_target;
  }
}

void LoadSimulation::Exchange(std::size_t domain, std::size_t sender) {
  auto& instances = instances_.at(domain);
  SimulatedInstance& from = *instances[sender];
  const auto samples = from.samples().TakeSamples(time_.Now());
  const std::size_t peers = instances.size() - 1;
  constexpr std::size_t per_message =
      (kMaxMessageBytes - kHeaderBytes) / kSampleBytes;
  messages_ += peers * std::max<std::size_t>(
                           1, (samples.size() + per_message - 1) / per_message);
  bytes_ += peers * (kHeaderBytes + kSampleBytes * samples.size());
  for (const auto& peer : instances) {
    if (peer.get() == &from) continue;
    peer->samples().OnPeerSamples(from.id(), samples, time_.Now());
  }
  time_.After(load_.exchange_interval,
              [this, domain, sender] { Exchange(domain, sender); });
}

Result LoadSimulation::Summarize() {
  Duration sum{};
  Duration most{};
  for (const Server& server : servers_) {
    sum += server.busy;
    most = std::max(most, server.busy);
  }
  const double mean =
      static_cast<double>(sum.count()) / static_cast<double>(records_.size());
  result_.imbalance = static_cast<double>(most.count()) / mean;
  const double instance_seconds =
      std::chrono::duration<double>(load_.measured).count() *
      static_cast<double>(instance_count_);
  result_.messages_per_s = static_cast<double>(messages_) / instance_seconds;
  result_.bytes_per_s = static_cast<double>(bytes_) / instance_seconds;
  return std::move(result_);
}

}  // namespace sapphirestream::load
