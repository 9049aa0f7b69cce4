// Simple policies as baselines: no owners and no prepared versions.
#ifndef SAPPHIRESTREAM_BENCH_FLEET_BASELINE_H_
#define SAPPHIRESTREAM_BENCH_FLEET_BASELINE_H_

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <set>
#include <unordered_map>
#include <vector>

#include "bench/fleet/fleet.h"
#include "bench/fleet/system.h"
#include "sapphirestream/target/two_choice_placer.h"

namespace sapphirestream::fleet {

enum class Policy : std::uint8_t {
  kHash,                 // lookup table only
  kHashLocal,            // plus a flow table at each instance
  kTwoChoicesLocal,      // two choices by reported load, flow table
  kTwoChoicesReplicated  // plus replication of flows to all instances
};

class Baseline final : public System {
 public:
  Baseline(Policy policy, const FleetOptions& options,
           const Configuration& configuration, Observer& observer);

  void Deliver(InstanceId to, const PacketInFlight& packet) override;
  void Accept(Configuration configuration) override;
  void Kill(InstanceId id) override;
  void Start(InstanceId id, DomainId domain) override;
  void Leave(InstanceId id) override;
  void Pause(InstanceId id, Duration time) override;
  void Partition(DomainId domain) override { cut_.insert(domain); }
  void Heal(DomainId domain) override { cut_.erase(domain); }
  void Report(const LoadReport& report) override;

  [[nodiscard]] EventQueue& queue() noexcept override { return queue_; }
  [[nodiscard]] Random& random() noexcept override { return random_; }
  [[nodiscard]] const Configuration& newest() const noexcept override {
    return *newest_;
  }
  [[nodiscard]] std::vector<InstanceId> live() const override;
  [[nodiscard]] DomainId DomainOf(InstanceId id) const override {
    return domains_.at(id);
  }
  [[nodiscard]] bool IsCut(DomainId a, DomainId b) const override {
    return a != b && (cut_.contains(a) || cut_.contains(b));
  }
  [[nodiscard]] std::size_t records() const override;
  [[nodiscard]] std::uint64_t control_bytes() const noexcept override {
    return control_bytes_;
  }
  void ResetBytes() override { control_bytes_ = 0; }

 private:
  struct KeyHash {
    std::size_t operator()(const FlowKey& key) const noexcept {
      return HashFlow(key);
    }
  };
  struct ServiceState {
    std::shared_ptr<const LookupTable> table;
    std::unique_ptr<TwoChoicePlacer> placer;
  };
  struct Instance {
    std::map<ServiceId, ServiceState> services;
    std::unordered_map<FlowKey, TargetId, KeyHash> flows;
    TimePoint paused_until;
  };

  void Apply(Instance& instance, const Configuration& configuration);
  void Handle(InstanceId at, const PacketInFlight& packet);
  [[nodiscard]] TargetId Place(Instance& instance, const Packet& packet);
  void Replicate(InstanceId from, const FlowKey& key, TargetId target);

  Policy policy_;
  FleetOptions options_;
  Observer& observer_;
  EventQueue queue_;
  SeededRandom random_;
  std::shared_ptr<const Configuration> newest_;
  std::map<InstanceId, Instance> instances_;
  std::map<InstanceId, DomainId> domains_;
  std::set<DomainId> cut_;
  std::uint64_t control_bytes_ = 0;
};

}  // namespace sapphirestream::fleet

#endif  // SAPPHIRESTREAM_BENCH_FLEET_BASELINE_H_
