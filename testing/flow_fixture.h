// Snapshots, packets and a recording sink for tests of module flow.
#ifndef SAPPHIRESTREAM_TESTING_FLOW_FIXTURE_H_
#define SAPPHIRESTREAM_TESTING_FLOW_FIXTURE_H_

#include <memory>
#include <utility>
#include <vector>

#include "bench/fleet/site.h"
#include "sapphirestream/flow/snapshot_builder.h"
#include "sapphirestream/flow/steering.h"
#include "sapphirestream/target/scheduler_factory.h"

namespace sapphirestream::testing {

inline constexpr TimePoint kStart{std::chrono::seconds(1000)};

// Returns instances 1..count, assigned round-robin to domains 1..domains.
inline std::vector<Member> MakeMembers(std::size_t count, std::size_t domains) {
  std::vector<Member> members;
  for (std::size_t i = 0; i < count; ++i) {
    members.push_back({static_cast<InstanceId>(i + 1),
                       static_cast<DomainId>(i % domains + 1),
                       MemberState::kAlive, Incarnation{1}});
  }
  return members;
}

inline std::shared_ptr<const Snapshot> MakeSnapshot(
    InstanceId self, const Configuration& active, const Configuration& newest,
    const std::vector<Member>& members,
    const std::vector<Member>& previous = {}) {
  SnapshotBuilder builder(std::chrono::seconds(900));
  const MemberView view(members);
  return builder.Build(
      {.self = self,
       .own_domain = view.Find(self)->domain,
       .active = std::make_shared<const Configuration>(active),
       .newest = std::make_shared<const Configuration>(newest),
       .members = view,
       .previous_members = previous.empty() ? view : MemberView(previous),
       .authority_until = kStart + std::chrono::hours(1),
       .now = WallTime(std::chrono::seconds(1000))});
}

// Returns a first packet of the n-th client.
inline Packet MakeFirstPacket(ServiceId service, std::uint32_t n,
                              Protocol protocol = Protocol::kTcp) {
  Packet packet;
  packet.key.service = service;
  packet.key.client = MakeV4(10, 0, static_cast<std::uint8_t>(n >> 8),
                             static_cast<std::uint8_t>(n));
  packet.key.client_port = 4000;
  packet.key.protocol = protocol;
  packet.hash = HashFlow(packet.key);
  packet.syn = protocol == Protocol::kTcp;
  packet.payload_size = protocol == Protocol::kUdp ? 100 : 0;
  packet.sequence = 7;
  return packet;
}

inline Packet MakeDataPacket(const Packet& first) {
  Packet packet = first;
  packet.syn = false;
  packet.ack = true;
  packet.sequence = first.sequence + 1;
  packet.payload_size = 100;
  return packet;
}

// Records the calls of Steering.
class RecordingSink final : public SteeringSink {
 public:
  struct Sent {
    InstanceId to;
    FlowMessage message;
  };

  void Send(InstanceId to, const FlowMessage& message) override {
    sent.push_back({to, message});
  }
  void Release(std::uint64_t token, const Verdict& verdict) override {
    released.emplace_back(token, verdict);
  }
  void LearnFlow(const FlowKey& key, TargetId target) override {
    learned.emplace_back(key, target);
  }
  void ForgetFlow(const FlowKey& key) override { forgotten.push_back(key); }

  // Returns the last message of type T, or null.
  template <typename T>
  [[nodiscard]] const T* Last(InstanceId* to = nullptr) const {
    for (auto it = sent.rbegin(); it != sent.rend(); ++it) {
      if (const T* message = std::get_if<T>(&it->message)) {
        if (to != nullptr) *to = it->to;
        return message;
      }
    }
    return nullptr;
  }

  std::vector<Sent> sent;
  std::vector<std::pair<std::uint64_t, Verdict>> released;
  std::vector<std::pair<FlowKey, TargetId>> learned;
  std::vector<FlowKey> forgotten;
};

}  // namespace sapphirestream::testing

#endif  // SAPPHIRESTREAM_TESTING_FLOW_FIXTURE_H_
