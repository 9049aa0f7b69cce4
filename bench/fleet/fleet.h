// Simulates a fleet of instances in one process and in virtual time: the
// decision library of each instance, and the messages between them with delay,
// loss and partitions.
#ifndef SAPPHIRESTREAM_BENCH_FLEET_FLEET_H_
#define SAPPHIRESTREAM_BENCH_FLEET_FLEET_H_

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "bench/fleet/event_queue.h"
#include "bench/fleet/system.h"
#include "sapphirestream/base/counter.h"
#include "sapphirestream/base/random.h"
#include "sapphirestream/contract/configuration.h"
#include "sapphirestream/flow/fast_path.h"
#include "sapphirestream/flow/snapshot_builder.h"
#include "sapphirestream/flow/steering.h"
#include "sapphirestream/target/scheduler_factory.h"

namespace sapphirestream::fleet {

class Node;

struct FleetOptions {
  std::size_t instances = 8;
  std::size_t domains = 4;
  std::uint64_t seed = 1;
  // One-way delay between instances of one domain and of different domains.
  Duration delay_inside = std::chrono::microseconds(300);
  Duration delay_between = std::chrono::milliseconds(5);
  // Maximum relative increase of a delay; uniformly distributed.
  double jitter = 0.3;
  // Probabilities of loss and duplication of a datagram between instances.
  double loss = 0.0;
  double duplicate = 0.0;
  // Time until the other instances detect the death or return of an instance.
  Duration detection = std::chrono::seconds(3);
  // Maximum time until an instance receives an accepted configuration, and
  // until it activates one; see Fleet::Accept.
  Duration spread = std::chrono::milliseconds(300);
  Duration prepare = std::chrono::seconds(2);
  // Whether changes are prepared before they become active.
  bool uses_prepare = true;
  Steering::Options steering;
  FastPath::Options fast_path;
};

class Fleet final : public System {
 public:
  Fleet(const FleetOptions& options, Configuration configuration,
        Observer& observer);
  ~Fleet() override;
  Fleet(const Fleet&) = delete;
  Fleet& operator=(const Fleet&) = delete;

  void Deliver(InstanceId to, const PacketInFlight& packet) override;
  // Each instance prepares the configuration after a random part of `spread`
  // and activates it once all live instances could have confirmed it.
  void Accept(Configuration configuration) override;
  void Kill(InstanceId id) override;
  void Start(InstanceId id, DomainId domain) override;
  void Leave(InstanceId id) override;
  void Pause(InstanceId id, Duration time) override;
  void Partition(DomainId domain) override;
  void Heal(DomainId domain) override;
  void Report(const LoadReport& report) override;

  [[nodiscard]] EventQueue& queue() noexcept override { return queue_; }
  [[nodiscard]] Random& random() noexcept override { return random_; }
  [[nodiscard]] const Configuration& newest() const noexcept override {
    return *newest_;
  }
  [[nodiscard]] std::vector<InstanceId> live() const override;
  [[nodiscard]] std::size_t records() const override;
  [[nodiscard]] DomainId DomainOf(InstanceId id) const override;
  [[nodiscard]] bool IsCut(DomainId a, DomainId b) const override;
  [[nodiscard]] bool IsPaused(InstanceId id) const;
  [[nodiscard]] Steering::Stats StatsOf(InstanceId id) const;
  // Returns the sum of a counter over all instances.
  [[nodiscard]] std::uint64_t Count(const std::string& counter) const;
  // Returns the number of bytes of control messages sent by instances;
  // redirected packets are not included.
  [[nodiscard]] std::uint64_t control_bytes() const noexcept override {
    return control_bytes_;
  }
  [[nodiscard]] const std::map<std::string, std::uint64_t>& bytes_by_kind()
      const noexcept {
    return bytes_by_kind_;
  }
  void ResetBytes() override {
    control_bytes_ = 0;
    bytes_by_kind_.clear();
  }
  // Returns the wall time of the virtual clock, for configurations.
  [[nodiscard]] WallTime WallNow() const noexcept;

  static constexpr Duration kTick = std::chrono::milliseconds(10);

 private:
  friend class Node;

  // Runs `deliver` at `to` after the delay of the link, unless the datagram is
  // lost.
  void Transmit(InstanceId from, InstanceId to,
                const std::function<void(Node&)>& deliver);
  void SendMessage(InstanceId from, InstanceId to, const FlowMessage& message);
  [[nodiscard]] Duration DelayBetween(DomainId a, DomainId b);
  [[nodiscard]] Node* Find(InstanceId id) const;
  // Makes every instance see the current member states after `delay`.
  void PropagateMembers(Duration delay);
  [[nodiscard]] std::vector<Member> MembersSeenFrom(DomainId domain) const;
  void Tick();

  FleetOptions options_;
  Observer& observer_;
  EventQueue queue_;
  SeededRandom random_;
  std::shared_ptr<const Configuration> newest_;
  std::map<InstanceId, std::unique_ptr<Node>> nodes_;
  // Stopped instances; kept because pending events may refer to them.
  std::vector<std::unique_ptr<Node>> stopped_;
  std::map<InstanceId, Member> members_;
  std::set<DomainId> cut_;
  std::uint64_t control_bytes_ = 0;
  std::map<std::string, std::uint64_t> bytes_by_kind_;
};

}  // namespace sapphirestream::fleet

#endif  // SAPPHIRESTREAM_BENCH_FLEET_FLEET_H_
