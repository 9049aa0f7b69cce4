// Carries out what Steering decides: forwards, redirects, holds, answers and
// drops packets on the control thread.
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
    // Where answers to clients go.
    Endpoint return_path;
    Steering::Options steering;
  };
  // What the dispatcher uses; all outlive it.
  struct Borders {
    const Clock& clock;
    PacketOutput& packets;
    PeerOutput& peers;
    PlacerFactory& placers;
    CounterSet& counters;
  };

  // `threads` are the queues of the traffic threads, which outlive this.
  FlowDispatcher(const Options& options, const Borders& borders,
                 std::vector<TrafficQueues*> threads);

  // Takes a new snapshot. Until the next one, SetAuthority changes until when
  // first packets of services that are not idempotent may be decided.
  void SetSnapshot(const Snapshot& snapshot, TimePoint now);
  void SetAuthority(TimePoint until) noexcept;
  // Handles what the traffic threads have queued, a bounded number of packets;
  // returns whether more are left.
  bool TakeFromThreads();
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
  // A packet under decision.
  struct PacketInHand {
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
  // Parses a packet; counts it as dropped and returns false if it is malformed
  // or for another address.
  bool Parse(const PacketInHand& packet, InnerPacket& parsed);
  void CarryOut(const Verdict& verdict, const PacketInHand& packet);
  void Forward(TargetId target, const PacketInHand& packet);
  void Answer(ErrorKind reason, const PacketInHand& packet);
  void SendToThreads(const LearnCommand& command);
  [[nodiscard]] const ServiceView* ViewOf(ServiceId service) const noexcept;

  Options options_;
  Borders borders_;
  std::vector<TrafficQueues*> threads_;
  TrafficCounters counters_;
  Counter& learn_overflows_;
  // Own copy, since its authority changes between two publications.
  std::shared_ptr<Snapshot> snapshot_;
  Steering steering_;
  // By Steering's token; at most hold_capacity.
  std::unordered_map<std::uint64_t, HeldPacket> held_;
};

}  // namespace sapphirestream

#endif  // SAPPHIRESTREAM_INSTANCE_FLOW_DISPATCHER_H_
