// The decisions of an instance about the flows it owns: first packets, records,
// their replicas and their move between instances.
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

// Receives what Steering does beside its verdicts. Implementations must not
// call back into Steering.
class SteeringSink {
 public:
  virtual ~SteeringSink() = default;
  // Sends a message to another instance; may be lost.
  virtual void Send(InstanceId to, const FlowMessage& message) = 0;
  // Ends the hold of a packet: kForward, kRedirect, kAnswer or kDrop.
  virtual void Release(std::uint64_t token, const Verdict& verdict) = 0;
  // Tells the traffic threads where the flow's packets go.
  virtual void Learned(const FlowKey& key, TargetId target) = 0;
  // Tells the traffic threads to ask the owner again.
  virtual void Forgotten(const FlowKey& key) = 0;
};

// Used by the control thread only.
class Steering {
 public:
  struct Options {
    // Records kept at most, as owner and replica together.
    std::size_t record_capacity = 1'000'000;
    // First packets held at most.
    std::size_t hold_capacity = 4'096;
    // Records without a packet for this long are dropped.
    Duration idle_timeout = std::chrono::seconds(900);
    // Records moved per second to a new owner or replica.
    std::uint32_t move_rate = 1'000;
    // Longer batches save bytes: most short flows end before they are sent. A
    // death loses the records of the last interval.
    Duration batch_interval = std::chrono::milliseconds(100);
    Duration count_interval = std::chrono::milliseconds(200);
  };

  Steering(const Options& options, PlacerFactory& placers, SteeringSink& sink,
           CounterSet& counters);
  ~Steering();
  Steering(const Steering&) = delete;
  Steering& operator=(const Steering&) = delete;

  // Takes a new snapshot into use.
  void SetSnapshot(std::shared_ptr<const Snapshot> snapshot, TimePoint now);
  // Decides about a packet that FastPath escalated.
  [[nodiscard]] Verdict OnPacket(const Packet& packet, bool repeated,
                                 TimePoint now);
  // Decides about a packet that `from` redirected on behalf of `asker`, the
  // instance that got it from the fabric.
  [[nodiscard]] Verdict OnRedirect(const Packet& packet, bool repeated,
                                   InstanceId asker, InstanceId from,
                                   std::uint8_t hop_limit, TimePoint now);
  void OnMessage(InstanceId from, const FlowMessage& message, TimePoint now);
  // A flow known to FastPath was closed by its client.
  void OnLocalEnd(const FlowKey& key, TimePoint now);
  // Passes a target's report to the placers of the services that use it.
  void OnReport(const LoadReport& report, TimePoint now);
  // Does what is due; call at least every 10 ms.
  void OnTimer(TimePoint now);
  // Starts to hand over all records, before a planned stop.
  void BeginLeave(TimePoint now);
  // Whether nothing is left to hand over after BeginLeave.
  [[nodiscard]] bool handed_over() const noexcept;

  // Numbers for dump and metrics.
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
