// Steering of the flows that an instance owns: placement of first packets,
// records, their replication and their move between instances.
#ifndef SAPPHIRESTREAM_FLOW_STEERING_H_
#define SAPPHIRESTREAM_FLOW_STEERING_H_

#include <cstdint>
#include <memory>

#include "sapphirestream/base/clock.h"
#include "sapphirestream/base/counter.h"
#include "sapphirestream/flow/message.h"
#include "sapphirestream/flow/packet.h"
#include "sapphirestream/flow/snapshot.h"
#include "sapphirestream/flow/verdict.h"
#include "sapphirestream/target/placer.h"

namespace sapphirestream {

// Receives the actions of Steering other than its returned verdicts.
// Implementations must not call back into Steering.
class SteeringSink {
 public:
  virtual ~SteeringSink() = default;
  // Sends a message to another instance; delivery is not guaranteed.
  virtual void Send(InstanceId to, const FlowMessage& message) = 0;
  // Releases a held packet. `verdict` is kForward, kRedirect, kAnswer or kDrop.
  virtual void Release(std::uint64_t token, const Verdict& verdict) = 0;
  // Makes the traffic threads steer a flow by themselves.
  virtual void LearnFlow(const FlowKey& key, TargetId target) = 0;
  // Makes the traffic threads consult the owner of a flow again.
  virtual void ForgetFlow(const FlowKey& key) = 0;
};

// Not thread-safe; used by the control thread only.
class Steering {
 public:
  struct Options {
    // Maximum number of records, as owner and replica together.
    std::size_t record_capacity = 1'000'000;
    // Maximum number of held first packets.
    std::size_t hold_capacity = 4'096;
    // Records are dropped after this time without a packet.
    Duration idle_timeout = std::chrono::seconds(900);
    // Records moved per second to a new owner or replica.
    std::uint32_t move_rate = 1'000;
    // Longer intervals save bytes, because most short flows end before their
    // copies are sent. The records of the last interval are lost when the
    // instance dies.
    Duration batch_interval = std::chrono::milliseconds(100);
    Duration count_interval = std::chrono::milliseconds(200);
  };

  Steering(const Options& options, PlacerFactory& placers, SteeringSink& sink,
           CounterSet& counters);
  ~Steering();
  Steering(const Steering&) = delete;
  Steering& operator=(const Steering&) = delete;

  // Replaces the snapshot.
  void SetSnapshot(std::shared_ptr<const Snapshot> snapshot, TimePoint now);
  // Returns the verdict for a packet that FastPath escalated.
  [[nodiscard]] Verdict OnPacket(const Packet& packet, bool repeated,
                                 TimePoint now);
  // Returns the verdict for a packet that `from` redirected. `asker` is the
  // instance that received it from the fabric.
  [[nodiscard]] Verdict OnRedirect(const Packet& packet, bool repeated,
                                   InstanceId asker, InstanceId from,
                                   std::uint8_t hop_limit, TimePoint now);
  void OnMessage(InstanceId from, const FlowMessage& message, TimePoint now);
  // Handles the end of a learned flow that FastPath has reported.
  void OnLocalEnd(const FlowKey& key, TimePoint now);
  // Passes the report of a target to the placers of all services that use it.
  void OnReport(const LoadReport& report, TimePoint now);
  // Runs the periodic work; call at least every 10 ms.
  void OnTimer(TimePoint now);
  // Starts to hand over all records before a planned stop.
  void BeginLeave(TimePoint now);
  // Whether all records have been handed over after BeginLeave.
  [[nodiscard]] bool handed_over() const noexcept;

  // Statistics for the dump and the metrics.
  struct Stats {
    std::size_t owned = 0;
    std::size_t replicas = 0;
    std::size_t held = 0;
    std::size_t moving = 0;
    std::size_t recovering_services = 0;
  };
  [[nodiscard]] Stats stats() const noexcept;

 private:
  class Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace sapphirestream

#endif  // SAPPHIRESTREAM_FLOW_STEERING_H_
