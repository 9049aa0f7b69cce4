// Simulates clients, fabric and targets around a system, and records the
// outcome of each flow.
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
  // One-way delays between client and instance and between instance and target.
  Duration client_delay = std::chrono::milliseconds(3);
  Duration target_delay = std::chrono::microseconds(500);
  // Mean time for which a request occupies a slot; exponentially distributed.
  Duration service_time = std::chrono::milliseconds(200);
  // Mean time between packets of a stream; exponentially distributed.
  Duration stream_interval = std::chrono::seconds(5);
  // Time for which the fabric still sends packets to an instance that has
  // stopped.
  Duration fabric_lag = std::chrono::milliseconds(200);
  // Interval of the load reports of a target (zero for no reports), and their
  // age on arrival.
  Duration report_interval = std::chrono::milliseconds(500);
  Duration report_age = std::chrono::milliseconds(100);
  std::uint64_t seed = 7;
};

struct TrafficResult {
  std::uint64_t streams = 0;
  std::uint64_t streams_broken = 0;
  // Streams whose first packet was never answered.
  std::uint64_t streams_not_opened = 0;
  std::uint64_t requests = 0;
  std::uint64_t requests_answered = 0;
  // Opened at a target but then reset or not answered.
  std::uint64_t requests_broken = 0;
  std::uint64_t requests_refused = 0;
  std::uint64_t requests_doubled = 0;
  // Refused as "not run" although a target ran the request.
  std::uint64_t false_not_run = 0;
  // Packets delivered to a target of another service.
  std::uint64_t wrong_service = 0;
  // New flows opened on a target later than 3 s after it was drained.
  std::uint64_t late_on_drained = 0;
  // Flows without an answer until the client ran out of retries.
  std::uint64_t stalled = 0;
  // Flows reset by an instance because they made no progress.
  std::uint64_t reset_as_silent = 0;
  // Packets for a target on the other side of a partition.
  std::uint64_t unreachable = 0;
  std::uint64_t packets = 0;
  std::uint64_t redirects = 0;
  std::vector<double> waits;

  [[nodiscard]] std::uint64_t broken() const noexcept {
    return streams_broken + requests_broken;
  }
  // Returns a percentile of the waiting times in units of the mean service
  // time. `waits` must be sorted.
  [[nodiscard]] double WaitAt(double percentile) const noexcept;
};

class Traffic final : public Observer {
 public:
  explicit Traffic(const TrafficOptions& options);

  // Must be called before any other member function.
  void Attach(System& system);

  // Opens `count` streams of a service, evenly spread over the time `over`.
  // They stay open until the end of the run, or for an exponentially
  // distributed time with mean `lifetime` if that is not zero.
  void OpenStreams(ServiceId service, std::size_t count, Duration over,
                   Duration lifetime = Duration::zero());
  // Starts requests of a service as a Poisson process until `until`.
  void StartRequests(ServiceId service, double per_second, TimePoint until);
  // Starts requests of a single datagram without a handshake in the same way.
  void StartDatagrams(ServiceId service, double per_second, TimePoint until);
  // Starts short idempotent flows of one first packet and `packets` data
  // packets in the same way.
  void StartShortFlows(ServiceId service, double per_second, int packets,
                       TimePoint until);

  // Resets the waiting times, packet counts and samples, and starts to record
  // waiting times.
  void StartMeasuring();
  // Returns the peak-to-mean ratio of open flows over the targets that accept
  // new flows.
  [[nodiscard]] double OpenImbalance(ServiceId service) const;
  // Returns the peak-to-mean ratio of the load of the targets (busy slots and
  // queued requests), averaged over the samples since StartMeasuring.
  [[nodiscard]] double BusyImbalance() const noexcept;
  // Ends the run and returns the totals over all flows.
  TrafficResult Finish();

  // Makes a target answer nothing, while it still reports zero load.
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
    int attempts = 0;
    int packets_left = 0;
    std::uint32_t sequence = 0;
    TimePoint started;
    TimePoint ends;
    // Incremented on each change of phase, so that timers of earlier phases are
    // ignored.
    std::uint32_t epoch = 0;
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
    // Whether the target has ever served a request.
    bool has_served = false;
    std::deque<Job> queue;
    std::unordered_set<std::uint64_t> open;
  };

  std::uint64_t Start(ServiceId service, Kind kind);
  void Send(std::uint64_t id, const Packet& packet);
  void SendFirst(std::uint64_t id);
  void SendData(std::uint64_t id, bool is_retransmission);
  void SendEnd(std::uint64_t id);
  void Retry(std::uint64_t id, Duration wait,
             void (Traffic::*action)(std::uint64_t));
  void RetryFirst(std::uint64_t id);
  void RetryData(std::uint64_t id);
  void RetryEnd(std::uint64_t id);
  void OnClosed(std::uint64_t id);
  void NextStreamPacket(std::uint64_t id);
  void OnArrival(std::uint64_t id, const Packet& packet, TargetId target);
  void OnFirstPacket(std::uint64_t id, const Packet& packet, TargetId target);
  void Run(std::uint64_t id, TargetId target);
  void StartJob(TargetId target);
  void OnOpened(std::uint64_t id, TargetId target);
  void OnDataAnswered(std::uint64_t id);
  void OnReset(std::uint64_t id, TargetId by);
  void MarkBroken(Flow& flow);
  void ScheduleArrivals(ServiceId service, Kind kind, double per_second,
                        int packets, TimePoint until);
  void SendReports();
  void SampleLoad();
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
  // Instances that the fabric sends to, with the time until which it does.
  std::map<InstanceId, TimePoint> fabric_;
  TrafficResult result_;
  bool is_measuring_ = false;
  double busy_sum_ = 0;
  std::uint64_t busy_samples_ = 0;
};

}  // namespace sapphirestream::fleet

#endif  // SAPPHIRESTREAM_BENCH_FLEET_TRAFFIC_H_
