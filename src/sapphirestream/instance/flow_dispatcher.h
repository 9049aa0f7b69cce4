// Applies the decisions of Steering on the control thread: forwards, redirects,
// holds, answers and drops packets.
#ifndef SAPPHIRESTREAM_INSTANCE_FLOW_DISPATCHER_H_
#define SAPPHIRESTREAM_INSTANCE_FLOW_DISPATCHER_H_

#include <cstddef>
#include <cstdint>
#include <memory>
#include <span>
#include <string>
#include <unordered_map>
#include <vector>

#include "sapphirestream/base/clock.h"
#include "sapphirestream/base/counter.h"
#include "sapphirestream/base/endpoint.h"
#include "sapphirestream/flow/steering.h"
#include "sapphirestream/instance/output.h"
#include "sapphirestream/instance/traffic_counters.h"
#include "sapphirestream/instance/traffic_queues.h"
#include "sapphirestream/link/inner_packet.h"

namespace sapphirestream {

class FlowDispatcher final : private SteeringSink {
 public:
  struct Options {
    InstanceId self = kNoInstance;
    // Destination of answers to clients.
    Endpoint return_path;
    Steering::Options steering;
  };
  // Must outlive the dispatcher.
  struct Dependencies {
    const Clock& clock;
    PacketOutput& packets;
    PeerOutput& peers;
    PlacerFactory& placers;
    CounterSet& counters;
  };

  // `threads` are the queues of the traffic threads; they must outlive the
  // dispatcher.
  FlowDispatcher(const Options& options, const Dependencies& dependencies,
                 std::vector<TrafficQueues*> threads);

  // Installs a new snapshot.
  void SetSnapshot(const Snapshot& snapshot, TimePoint now);
  // Sets the time until which this instance may decide first packets of
  // services that are not idempotent. The next snapshot replaces it.
  void SetAuthority(TimePoint until) noexcept;
  // Handles a bounded number of the packets that the traffic threads have
  // queued. Returns whether more may be waiting.
  bool ProcessThreadQueues();
  void OnRedirect(InstanceId from, const Redirect& redirect);
  void OnMessage(InstanceId from, const FlowMessage& message);

  [[nodiscard]] Steering& steering() noexcept { return steering_; }
  [[nodiscard]] std::size_t held() const noexcept { return held_.size(); }

 private:
  struct HeldPacket {
    ServiceId service{};
    InstanceId asker = kNoInstance;
    std::vector<std::byte> inner;
  };
  // A packet that is being decided, with its origin.
  struct PacketContext {
    ServiceId service{};
    InstanceId asker = kNoInstance;
    bool repeated = false;
    std::span<const std::byte> inner;
  };

  void Send(InstanceId to, const FlowMessage& message) override;
  void Release(std::uint64_t token, const Verdict& verdict) override;
  void LearnFlow(const FlowKey& key, TargetId target) override;
  void ForgetFlow(const FlowKey& key) override;

  void OnEscalated(const EscalatedPacket& packet);
  // Parses a packet. Counts it as dropped and returns false if it is malformed
  // or not addressed to its service.
  bool Parse(const PacketContext& packet, InnerPacket& parsed);
  void ApplyVerdict(const Verdict& verdict, const PacketContext& packet);
  void Forward(TargetId target, const PacketContext& packet);
  void Answer(ErrorKind reason, const PacketContext& packet);
  void SendToThreads(const LearnCommand& command);
  [[nodiscard]] const ServiceView* ViewOf(ServiceId service) const noexcept;

  Options options_;
  Dependencies dependencies_;
  std::vector<TrafficQueues*> threads_;
  TrafficCounters counters_;
  Counter& learn_overflows_;
  // A private copy, since its authority changes between two publications.
  std::shared_ptr<Snapshot> snapshot_;
  Steering steering_;
  // Keyed by the token of Steering; at most hold_capacity entries.
  std::unordered_map<std::uint64_t, HeldPacket> held_;
};

}  // namespace sapphirestream

#endif  // SAPPHIRESTREAM_INSTANCE_FLOW_DISPATCHER_H_
