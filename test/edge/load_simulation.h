// Simulates instances, targets with queues and random arrivals in virtual time,
// to compare placements under load. Placement, load accounting and the exchange
// of observations are those of the product, or stand-ins at its interfaces;
// there is no network.
#ifndef SAPPHIRESTREAM_TEST_EDGE_LOAD_SIMULATION_H_
#define SAPPHIRESTREAM_TEST_EDGE_LOAD_SIMULATION_H_

#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "sapphirestream/base/clock.h"
#include "sapphirestream/base/random.h"
#include "sapphirestream/edge/edge_placement.h"
#include "sapphirestream/edge/target_record.h"
#include "testing/virtual_time.h"

namespace sapphirestream::load {

enum class Policy : std::uint8_t {
  kPlainHash,  // over the targets of all domains
  kPlaceFlow,  // by tier, on the instance's own counts
  kSubsets,    // as kPlaceFlow, but each instance uses only some local targets
  kBalanced,
};

struct Load {
  Policy policy = Policy::kPlaceFlow;
  // Per failure domain; those of the Rubikon site.
  std::vector<std::uint32_t> instances{2, 2, 1, 1};
  std::vector<std::uint32_t> targets{4, 4, 3, 3};
  // Request times of the targets relative to the mean, assigned in rotation.
  std::vector<double> request_times{1.0};
  // For kBalanced: time between two messages to a peer of the same domain; zero
  // if nothing is exchanged.
  Duration exchange_interval{};
  // One-way time between failure domains.
  Duration crossing{};

  // Average share of all slots that is in use, if all targets are average.
  double utilization = 0.8;
  // Load of the first failure domain relative to its usual load.
  double peak_factor = 1.0;
  // From the start of the measurement: load relative to the usual load, and
  // request time of a quarter of the targets relative to their usual one.
  double burst_factor = 1.0;
  double slowdown = 1.0;

  Duration warm_up{};
  Duration measured = std::chrono::seconds(60);
  std::uint64_t seed = 1;
};

struct Result {
  std::vector<Duration> waits;
  std::size_t placed = 0;
  std::size_t rejected = 0;
  std::size_t late = 0;
  std::size_t crossed = 0;
  // Copies of opening packets that arrived at another instance 200 ms later,
  // and those of them that got the same target.
  std::size_t copies = 0;
  std::size_t copies_on_target = 0;
  // Busy time of the busiest target relative to the mean.
  double imbalance = 0;
  // Per instance.
  double messages_per_s = 0;
  double bytes_per_s = 0;

  [[nodiscard]] Duration Percentile(double share);
  [[nodiscard]] double ServedInTime() const;
};

// State of an instance; load_instance.h.
class SimulatedInstance;

class LoadSimulation {
 public:
  static constexpr std::uint32_t kSlots = 2;
  static constexpr std::size_t kQueueLimit = 8;
  static constexpr double kMeanServiceTimeMs = 16;
  static constexpr Duration kCallerTimeout = std::chrono::milliseconds(120);

  explicit LoadSimulation(const Load& load);
  ~LoadSimulation();
  LoadSimulation(const LoadSimulation&) = delete;
  LoadSimulation& operator=(const LoadSimulation&) = delete;

  // Must be called only once.
  Result Run();

 private:
  struct Job {
    SimulatedInstance* instance;
    TargetKey target;
    TimePoint arrived;
    // When the request reached its target.
    TimePoint queued;
  };
  struct Server {
    std::uint32_t running = 0;
    std::deque<Job> waiting;
    double request_time = 1;
    // Time for which its slots were busy.
    Duration busy{};
  };

  void AddTargets();
  void AddInstances();
  [[nodiscard]] bool IsMeasured(TimePoint at) const;
  [[nodiscard]] double Exponential(double mean);
  // Processing time of an average target; log-normally distributed like that of
  // the site's requests.
  [[nodiscard]] double ServiceTime();
  void ScheduleArrival(std::size_t domain);
  void Arrive(std::size_t domain);
  void Enqueue(Job job);
  void Reject(const Job& job);
  void StartNext(TargetKey key);
  void Finish(const Job& job);
  // Places a copy of the flow's opening packet at another instance.
  void CheckCopy(std::size_t domain, std::uint64_t hash, TargetKey target);
  void Exchange(std::size_t domain, std::size_t sender);
  Result Summarize();

  Load load_;
  SeededRandom random_;
  // Separate, so that copies do not change the load.
  SeededRandom copy_random_;
  testing::VirtualTime time_;
  TimePoint measured_from_;
  std::vector<TargetRecord> records_;
  std::map<std::size_t, std::vector<std::unique_ptr<SimulatedInstance>>>
      instances_;
  std::size_t instance_count_ = 0;
  // Indexed by key.
  std::vector<Server> servers_;
  Result result_;
  std::size_t messages_ = 0;
  std::size_t bytes_ = 0;
};

}  // namespace sapphirestream::load

#endif  // SAPPHIRESTREAM_TEST_EDGE_LOAD_SIMULATION_H_
