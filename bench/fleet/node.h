// One instance of a fleet: fast path and steering with their snapshot.
#ifndef SAPPHIRESTREAM_BENCH_FLEET_NODE_H_
#define SAPPHIRESTREAM_BENCH_FLEET_NODE_H_

#include <cstdint>
#include <functional>
#include <memory>
#include <unordered_map>
#include <vector>

#include "bench/fleet/fleet.h"

namespace sapphirestream::fleet {

class Node final : public SteeringSink {
 public:
  Node(Fleet& fleet, InstanceId id, DomainId domain);

  void OnPacket(const PacketInFlight& packet);
  void OnRedirect(const PacketInFlight& packet, bool repeated, InstanceId asker,
                  InstanceId from, std::uint8_t hop_limit);
  void OnMessage(InstanceId from, const FlowMessage& message);
  void OnReport(const LoadReport& report) { steering_.OnReport(report, now()); }
  void OnTick();
  void SetConfigurations(std::shared_ptr<const Configuration> active,
                         std::shared_ptr<const Configuration> newest);
  // Informs the node that a configuration of this version exists, which the
  // node may not have received yet.
  void OnNewerVersion(ConfigVersion version);
  void SetMembers(std::vector<Member> members);
  void SetLeaving();
  // Runs an event now, or at the end of the pause if the node is paused.
  void Run(const std::function<void(Node&)>& event);
  void Pause(TimePoint until);
  void Stop() { is_stopped_ = true; }

  [[nodiscard]] InstanceId id() const noexcept { return id_; }
  [[nodiscard]] DomainId domain() const noexcept { return domain_; }
  [[nodiscard]] bool is_stopped() const noexcept { return is_stopped_; }
  [[nodiscard]] bool is_paused() const noexcept { return is_paused_; }
  [[nodiscard]] const Steering& steering() const noexcept { return steering_; }
  [[nodiscard]] const CounterSet& counters() const noexcept {
    return counters_;
  }
  [[nodiscard]] const std::shared_ptr<const Configuration>& active()
      const noexcept {
    return active_;
  }
  [[nodiscard]] const std::shared_ptr<const Configuration>& newest()
      const noexcept {
    return newest_;
  }

  void Send(InstanceId to, const FlowMessage& message) override;
  void Release(std::uint64_t token, const Verdict& verdict) override;
  void LearnFlow(const FlowKey& key, TargetId target) override;
  void ForgetFlow(const FlowKey& key) override;

 private:
  struct HeldPacket {
    PacketInFlight packet;
    InstanceId asker = kNoInstance;
    bool repeated = false;
  };

  void Execute(const Verdict& verdict, const PacketInFlight& packet,
               bool repeated, InstanceId asker);
  void Rebuild();
  [[nodiscard]] TimePoint now() const noexcept { return fleet_.queue_.now(); }

  Fleet& fleet_;
  InstanceId id_;
  DomainId domain_;
  CounterSet counters_;
  SchedulerFactory factory_;
  FastPath fast_path_;
  Steering steering_;
  SnapshotBuilder builder_;
  std::shared_ptr<const Configuration> active_;
  std::shared_ptr<const Configuration> newest_;
  ConfigVersion newest_known_version_{};
  MemberView view_;
  MemberView previous_view_;
  std::shared_ptr<const Snapshot> snapshot_;
  std::unordered_map<std::uint64_t, HeldPacket> held_;
  std::vector<std::function<void(Node&)>> delayed_;
  TimePoint authority_until_;
  // Authority is granted only from this time on, since peers have to echo a
  // heartbeat after a pause.
  TimePoint no_authority_before_;
  TimePoint last_rebuild_;
  bool is_stopped_ = false;
  bool is_paused_ = false;
};

}  // namespace sapphirestream::fleet

#endif  // SAPPHIRESTREAM_BENCH_FLEET_NODE_H_
