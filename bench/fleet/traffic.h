// Clients, fabric and targets around a system, and what became of each flow.
#ifndef SAPPHIRESTREAM_BENCH_FLEET_TRAFFIC_H_
#define SAPPHIRESTREAM_BENCH_FLEET_TRAFFIC_H_

#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <set>
#include <unordered_map>
#include <unordered_set>
#include <vector>

#include "bench/fleet/system.h"

namespace sapphirestream::fleet {

struct TrafficOptions {
  // One way, client to instance and target to client.
  Duration client_delay = std::chrono::milliseconds(3);
  Duration target_delay = std::chrono::microseconds(500);
  // Mean time that a request takes a slot; exponential.
  Duration service_time = std::chrono::milliseconds(200);
  // Mean time between packets of a stream; exponential.
  Duration stream_interval = std::chrono::seconds(5);
  // How long the fabric sends packets to an instance that has stopped.
  Duration fabric_lag = std::chrono::milliseconds(200);
  // Time between load reports of a target and how old they are on arrival; zero
  // interval for none.
  Duration report_interval = std::chrono::milliseconds(500);
  Duration report_age = std::chrono::milliseconds(100);
  std::uint64_t seed = 7;
};

struct TrafficResult {
  std::uint64_t streams = 0;
  std::uint64_t streams_broken = 0;
  // Streams that never got an answer to their first packet.
  std::uint64_t streams_not_opened = 0;
  std::uint64_t requests = 0;
  std::uint64_t requests_answered = 0;
  // Opened at a target but reset or without an answer.
  std::uint64_t requests_broken = 0;
  std::uint64_t requests_refused = 0;
  std::uint64_t requests_doubled = 0;
  // Refused as "not run" though a target ran it.
  std::uint64_t false_not_run = 0;
  // Delivered to a target of another service.
  std::uint64_t wrong_service = 0;
  // New flows opened on a target later than 3 s after it was drained.
  std::uint64_t late_on_drained = 0;
  // Flows that got no answer for longer than the client tries.
  std::uint64_t stalled = 0;
  // Reset by an instance because the path made no progress.
  std::uint64_t reset_as_silent = 0;
  // Packets for a target on the other side of a partition.
  std::uint64_t unreachable = 0;
  std::uint64_t packets = 0;
  std::uint64_t redirects = 0;
  std::vector<double> waits;

  [[nodiscard]] std::uint64_t broken() const noexcept {
    return streams_broken + requests_broken;
  }
  // Waiting time at a percentile in units of the mean service time; the values
  // must be sorted.
  [[nodiscard]] double WaitAt(double percentile) const noexcept;
};

class Traffic final : public Observer {
 public:
  explicit Traffic(const TrafficOptions& options);

  // Must be called before anything else.
  void Attach(System& system);

  // Opens `count` streams of a service, spread evenly over `over`; they live
  // until the end unless `lifetime` is set (mean, exponential).
  void OpenStreams(ServiceId service, std::size_t count, Duration over,
                   Duration lifetime = Duration::zero());
  // Starts requests of a service with exponential gaps until `until`.
  void StartRequests(ServiceId service, double per_second, TimePoint until);
  // The same for requests of one datagram without a handshake.
  void StartDatagrams(ServiceId service, double per_second, TimePoint until);
  // The same for short idempotent flows (first packet, `packets` data packets).
  void StartShortFlows(ServiceId service, double per_second, int packets,
                       TimePoint until);

  // Waits recorded from now on count.
  void StartMeasuring();
  // Peak to mean of open flows over the targets that take new flows.
  [[nodiscard]] double OpenImbalance(ServiceId service) const;
  // Peak to mean of busy slots, averaged over the samples since StartMeasuring.
  [[nodiscard]] double BusyImbalance() const noexcept;
  // Ends the run: flows that wait in vain are counted.
  TrafficResult Finish();

  // A target that is dead answers nothing but reports zero load.
  void KillTarget(TargetId target);

  void OnForwarded(const PacketInFlight& packet, TargetId target,
                   InstanceId by) override;
  void OnAnswered(const PacketInFlight& packet, ErrorKind reason,
                  InstanceId by) override;
  void OnRedirected(const PacketInFlight& packet, InstanceId from,
                    InstanceId to) override;

 private:
  enum class Kind : std::uint8_t { kStream, kRequest, kDatagram, kShort };
  enum class Phase : std::uint8_t { kOpening, kOpen, kClosing, kDone };

  struct Flow {
    Packet first;
    Kind kind = Kind::kStream;
    Phase phase = Phase::kOpening;
    TargetId target = kNoTarget;
    // Targets that ran the request.
    std::vector<TargetId> ran;
    bool is_refused = false;
    bool is_broken = false;
    bool is_stalled = false;
    bool is_answered = false;
    int tries = 0;
    int packets_left = 0;
    std::uint32_t sequence = 0;
    TimePoint started;
    TimePoint ends;
    // Distinguishes timers of earlier phases.
    std::uint32_t step = 0;
  };
  struct Job {
    std::uint64_t flow = 0;
    TimePoint queued;
  };
  struct TargetState {
    ServiceId service{};
    DomainId domain{};
    std::uint32_t slots = 2;
    std::uint32_t busy = 0;
    bool is_dead = false;
    // Whether it ever served a request.
    bool had_job = false;
    std::deque<Job> queue;
    std::unordered_set<std::uint64_t> open;
  };

  std::uint64_t Start(ServiceId service, Kind kind);
  void Send(std::uint64_t id, const Packet& packet);
  void SendFirst(std::uint64_t id);
  void SendData(std::uint64_t id, bool is_repeat);
  void SendEnd(std::uint64_t id);
  void Retry(std::uint64_t id, Duration wait,
             void (Traffic::*action)(std::uint64_t));
  void RetryFirst(std::uint64_t id);
  void RetryData(std::uint64_t id);
  void RetryEnd(std::uint64_t id);
  void OnClosed(std::uint64_t id);
  void NextStreamPacket(std::uint64_t id);
  void Arrive(std::uint64_t id, const Packet& packet, TargetId target);
  void ArriveFirst(std::uint64_t id, const Packet& packet, TargetId target);
  void Run(std::uint64_t id, TargetId target);
  void StartJob(TargetId target);
  void OnOpened(std::uint64_t id, TargetId target);
  void OnDataAnswered(std::uint64_t id);
  void OnReset(std::uint64_t id, TargetId by);
  void Break(Flow& flow);
  void Arrivals(ServiceId service, Kind kind, double per_second, int packets,
                TimePoint until);
  void Reports();
  void Sample();
  [[nodiscard]] InstanceId PickInstance(DomainId client);
  [[nodiscard]] DomainId ClientDomain(std::uint64_t id) const;
  [[nodiscard]] TargetState& StateOf(TargetId target);
  [[nodiscard]] Duration Exponential(Duration mean);
  [[nodiscard]] TimePoint now() const { return system_->queue().now(); }
  void After(Duration delay, EventQueue::Action action);

  TrafficOptions options_;
  System* system_ = nullptr;
  SeededRandom random_;
  std::uint64_t next_flow_ = 1;
  std::unordered_map<std::uint64_t, Flow> flows_;
  std::map<TargetId, TargetState> targets_;
  // Instances that the fabric sends to, with the time it stops.
  std::map<InstanceId, TimePoint> fabric_;
  TrafficResult result_;
  bool is_measuring_ = false;
  double busy_sum_ = 0;
  std::uint64_t busy_samples_ = 0;
};

}  // namespace sapphirestream::fleet

#endif  // SAPPHIRESTREAM_BENCH_FLEET_TRAFFIC_H_
