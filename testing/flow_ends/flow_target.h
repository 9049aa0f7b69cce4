// Target end of flows: answers opening packets, processes requests in its
// slots, and retransmits responses until they are acknowledged.
#ifndef SAPPHIRESTREAM_TESTING_FLOW_ENDS_FLOW_TARGET_H_
#define SAPPHIRESTREAM_TESTING_FLOW_ENDS_FLOW_TARGET_H_

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <string>
#include <utility>

#include "sapphirestream/base/clock.h"
#include "sapphirestream/store/timer.h"
#include "testing/flow_ends/flow_packet.h"

namespace sapphirestream::testing {

struct FlowTargetOptions {
  TargetKey key{};
  std::uint32_t slots = 2;
  Duration service_time = std::chrono::milliseconds(20);
};

class FlowTarget {
 public:
  // Reports the events of a target's flows.
  class Observer {
   public:
    virtual ~Observer() = default;
    virtual void OnRun(TargetKey target, const std::string& request) = 0;
    // An opening packet arrived. `is_new`: it is the first one of its flow.
    virtual void OnOpeningPacket(TargetKey /*target*/,
                                 const FlowPacket& /*packet*/,
                                 bool /*is_new*/) {}
    virtual void OnOpened(TargetKey target, V4Endpoint client) = 0;
    // A packet of a flow that this target does not have arrived.
    virtual void OnUnknownFlow(TargetKey target, const FlowPacket& packet) = 0;
  };

  // `send` sends packets to clients. The references must outlive the target.
  FlowTarget(const FlowTargetOptions& options, Timer& timer, SendBytes send,
             Observer& observer);
  ~FlowTarget();
  FlowTarget(const FlowTarget&) = delete;
  FlowTarget& operator=(const FlowTarget&) = delete;

  // Handles a datagram of an instance: the key of the intended target, followed
  // by the packet.
  void OnDatagram(std::span<const std::byte> datagram);
  // Closes each flow with its next response.
  void Drain() noexcept { draining_ = true; }
  // Applies to requests that start from now on.
  void SetServiceTime(Duration time) noexcept { options_.service_time = time; }

  [[nodiscard]] TargetKey key() const noexcept { return options_.key; }
  [[nodiscard]] bool Holds(V4Endpoint client) const {
    return flows_.contains(Value(client));
  }
  [[nodiscard]] std::size_t flows() const noexcept { return flows_.size(); }

 private:
  struct Flow {
    V4Endpoint client;
    V4Endpoint service;
    FlowToken token{};
    // Sequence numbers of the opening packet and of the answer to it.
    std::uint32_t first_sequence = 0;
    std::uint32_t opening = 0;
    bool is_open = false;
    // Sequence numbers of the next byte to receive and of the next response.
    std::uint32_t expected = 0;
    std::uint32_t sequence = 0;
    // Unacknowledged response; empty if there is none.
    std::string response;
    bool closes = false;
    std::uint32_t retransmits = 0;
    TimerId retransmit_timer = kNoTimer;
  };

  void OnOpening(const FlowPacket& packet);
  void OnFlowPacket(const FlowPacket& packet);
  void OnData(Flow& flow, const FlowPacket& packet);
  void StartNextRequest();
  void OnRequestDone(std::uint64_t client);
  void SendResponse(Flow& flow);
  void Send(const Flow& flow, FlowPacket packet);
  void ResetUnknownFlow(const FlowPacket& packet);
  void Close(std::uint64_t client);

  FlowTargetOptions options_;
  Timer& timer_;
  SendBytes send_;
  Observer& observer_;
  bool draining_ = false;
  std::uint32_t running_ = 0;
  std::uint32_t next_opening_;
  // By client endpoint.
  std::map<std::uint64_t, Flow> flows_;
  // Clients and request ids that wait for a slot.
  std::deque<std::pair<std::uint64_t, std::string>> waiting_;
  std::map<std::uint64_t, TimerId> service_timers_;
};

}  // namespace sapphirestream::testing

#endif  // SAPPHIRESTREAM_TESTING_FLOW_ENDS_FLOW_TARGET_H_
