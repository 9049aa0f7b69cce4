// Simulates edge instances, targets and clients in virtual time. Packets are
// encoded as on the wire and take a fixed time per hop. A router distributes
// the flows over the running instances by hash.
#ifndef SAPPHIRESTREAM_TESTING_FLOW_ENDS_EDGE_FIELD_H_
#define SAPPHIRESTREAM_TESTING_FLOW_ENDS_EDGE_FIELD_H_

#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "sapphirestream/edge/edge_steering.h"
#include "sapphirestream/edge/target_record.h"
#include "testing/flow_ends/flow_client.h"
#include "testing/flow_ends/flow_target.h"
#include "testing/virtual_time.h"

namespace sapphirestream::testing {

class FieldObserver {
 public:
  virtual ~FieldObserver() = default;
  // An instance forwarded a client's packet, or reset a flow.
  virtual void OnForwarded(std::uint32_t instance, TargetKey target,
                           const FlowPacket& packet) = 0;
  virtual void OnReset(std::uint32_t instance, const ClientReset& reset) = 0;
  virtual void OnProbed(std::uint32_t instance, TargetKey target,
                        ProbeOutcome outcome) = 0;
  virtual void OnRun(TargetKey target, const std::string& request) = 0;
  virtual void OnOpened(TargetKey target, V4Endpoint client) = 0;
  virtual void OnFlowOver(const FlowClient& flow) = 0;
};

// State of the host at a target's address.
enum class HostState : std::uint8_t {
  kAlive,
  kCrashed,  // refuses connections
  kSilent,   // does not respond
};

class EdgeField final : public FlowTarget::Observer {
 public:
  static constexpr Duration kHop = std::chrono::milliseconds(1);

  // The observer must outlive this object.
  EdgeField(std::uint32_t instances, FieldObserver& observer);
  ~EdgeField() override;

  // Changes of routes and targets reach all instances immediately.
  void Configure(const RouteConfig& config);
  void List(const TargetRecord& record);
  void Unlist(TargetKey key, bool store_was_unavailable);

  void AddTarget(const TargetRecord& record, Duration service_time);
  void Drain(TargetKey key);
  // A target that becomes alive again has no flows.
  void SetState(TargetKey key, HostState state);
  void StopInstance(std::uint32_t instance);

  void Open(const FlowPlan& plan);
  // Sends a client's packet to the instance that the router selects.
  void Send(std::span<const std::byte> packet);

  [[nodiscard]] VirtualTime& time() noexcept { return time_; }
  [[nodiscard]] bool IsAlive(TargetKey key) const;
  [[nodiscard]] bool Holds(TargetKey key, V4Endpoint client) const;

 private:
  class Instance;
  struct Target {
    TargetRecord record;
    Duration service_time{};
    HostState state = HostState::kAlive;
    std::unique_ptr<FlowTarget> process;
  };

  void OnRun(TargetKey target, const std::string& request) override;
  void OnOpened(TargetKey target, V4Endpoint client) override;
  void OnUnknownFlow(TargetKey target, const FlowPacket& packet) override;

  void ExpireTargets();
  void StartProcess(Target& target);
  void DeliverToTarget(TargetKey key, Bytes datagram);
  void DeliverToClient(Bytes packet);
  [[nodiscard]] ProbeOutcome ProbeOutcomeOf(TargetKey key) const;

  FieldObserver& observer_;
  VirtualTime time_;
  std::map<TargetKey, Target> targets_;
  std::map<std::uint64_t, std::unique_ptr<FlowClient>> clients_;
  std::vector<std::unique_ptr<Instance>> instances_;
  // Store revision of the last entry.
  std::uint64_t revision_ = 0;
};

}  // namespace sapphirestream::testing

#endif  // SAPPHIRESTREAM_TESTING_FLOW_ENDS_EDGE_FIELD_H_
