// What traffic and faults see of a fleet, whatever its policy.
#ifndef SAPPHIRESTREAM_BENCH_FLEET_SYSTEM_H_
#define SAPPHIRESTREAM_BENCH_FLEET_SYSTEM_H_

#include <cstddef>
#include <cstdint>
#include <vector>

#include "bench/fleet/event_queue.h"
#include "sapphirestream/base/error.h"
#include "sapphirestream/base/random.h"
#include "sapphirestream/contract/configuration.h"
#include "sapphirestream/flow/message.h"
#include "sapphirestream/flow/packet.h"
#include "sapphirestream/target/placer.h"

namespace sapphirestream::fleet {

// A packet on its way; `id` lets the observer recognize it.
struct PacketInFlight {
  Packet packet;
  std::uint64_t id = 0;
};

// Sees what instances do with packets.
class Observer {
 public:
  virtual ~Observer() = default;
  // The packet arrives at the target (after the link's delay).
  virtual void OnForwarded(const PacketInFlight& packet, TargetId target,
                           InstanceId by) = 0;
  // The client is answered.
  virtual void OnAnswered(const PacketInFlight& packet, ErrorKind reason,
                          InstanceId by) = 0;
  virtual void OnDropped(const PacketInFlight& /*packet*/, ErrorKind /*reason*/,
                         InstanceId /*by*/) {}
  virtual void OnRedirected(const PacketInFlight& /*packet*/,
                            InstanceId /*from*/, InstanceId /*to*/) {}
  virtual void OnMessage(InstanceId /*from*/, InstanceId /*to*/,
                         const FlowMessage& /*message*/) {}
  // The instance takes configurations into use: one for its decisions, and the
  // newest one, which it has prepared.
  virtual void OnConfigurations(InstanceId /*at*/,
                                const Configuration& /*active*/,
                                const Configuration& /*newest*/) {}
};

class System {
 public:
  virtual ~System() = default;
  // Hands a packet from the fabric to an instance. Lost if that is dead; waits
  // if it is paused.
  virtual void Deliver(InstanceId to, const PacketInFlight& packet) = 0;
  // Accepts a configuration, which reaches the instances at different times.
  virtual void Accept(Configuration configuration) = 0;
  virtual void Kill(InstanceId id) = 0;
  // Starts an instance (again) with empty tables.
  virtual void Start(InstanceId id, DomainId domain) = 0;
  // Leaves in good order; the instance stops some time later.
  virtual void Leave(InstanceId id) = 0;
  virtual void Pause(InstanceId id, Duration time) = 0;
  // Cuts a domain off from the others.
  virtual void Partition(DomainId domain) = 0;
  virtual void Heal(DomainId domain) = 0;
  // A target's report reaches every instance.
  virtual void Report(const LoadReport& report) = 0;

  [[nodiscard]] virtual EventQueue& queue() noexcept = 0;
  [[nodiscard]] virtual Random& random() noexcept = 0;
  [[nodiscard]] virtual const Configuration& newest() const noexcept = 0;
  [[nodiscard]] virtual std::vector<InstanceId> live() const = 0;
  [[nodiscard]] virtual DomainId DomainOf(InstanceId id) const = 0;
  // Whether a partition separates two domains.
  [[nodiscard]] virtual bool IsCut(DomainId a, DomainId b) const = 0;
  // Flow records held by all instances together.
  [[nodiscard]] virtual std::size_t records() const = 0;
  // Bytes that instances sent each other, redirected packets not included.
  [[nodiscard]] virtual std::uint64_t control_bytes() const noexcept = 0;

  virtual void ResetBytes() = 0;

  void RunFor(Duration time) { queue().RunUntil(queue().now() + time); }
};

}  // namespace sapphirestream::fleet

#endif  // SAPPHIRESTREAM_BENCH_FLEET_SYSTEM_H_
