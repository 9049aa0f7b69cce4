// Interface of a simulated fleet, independent of its policy.
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

// A packet in flight; `id` identifies it to the observer.
struct PacketInFlight {
  Packet packet;
  std::uint64_t id = 0;
};

// Observes what instances do with packets.
class Observer {
 public:
  virtual ~Observer() = default;
  // The packet is forwarded and arrives at the target after the delay of the
  // link.
  virtual void OnForwarded(const PacketInFlight& packet, TargetId target,
                           InstanceId by) = 0;
  // The instance answers the client itself.
  virtual void OnAnswered(const PacketInFlight& packet, ErrorKind reason,
                          InstanceId by) = 0;
  virtual void OnDropped(const PacketInFlight& /*packet*/, ErrorKind /*reason*/,
                         InstanceId /*by*/) {}
  virtual void OnRedirected(const PacketInFlight& /*packet*/,
                            InstanceId /*from*/, InstanceId /*to*/) {}
  virtual void OnMessage(InstanceId /*from*/, InstanceId /*to*/,
                         const FlowMessage& /*message*/) {}
  // The instance starts to use configurations: `active` for new flows, and
  // `newest`, which it has prepared.
  virtual void OnConfigurations(InstanceId /*at*/,
                                const Configuration& /*active*/,
                                const Configuration& /*newest*/) {}
};

class System {
 public:
  virtual ~System() = default;
  // Delivers a packet from the fabric to an instance. The packet is lost if the
  // instance is dead and waits if it is paused.
  virtual void Deliver(InstanceId to, const PacketInFlight& packet) = 0;
  // Accepts a configuration; instances receive it at different times.
  virtual void Accept(Configuration configuration) = 0;
  virtual void Kill(InstanceId id) = 0;
  // Starts or restarts an instance with empty tables.
  virtual void Start(InstanceId id, DomainId domain) = 0;
  // Makes an instance leave gracefully; it stops some time later.
  virtual void Leave(InstanceId id) = 0;
  virtual void Pause(InstanceId id, Duration time) = 0;
  // Partitions a domain from the others.
  virtual void Partition(DomainId domain) = 0;
  virtual void Heal(DomainId domain) = 0;
  // Delivers the report of a target to every instance.
  virtual void Report(const LoadReport& report) = 0;

  [[nodiscard]] virtual EventQueue& queue() noexcept = 0;
  [[nodiscard]] virtual Random& random() noexcept = 0;
  [[nodiscard]] virtual const Configuration& newest() const noexcept = 0;
  [[nodiscard]] virtual std::vector<InstanceId> live() const = 0;
  [[nodiscard]] virtual DomainId DomainOf(InstanceId id) const = 0;
  // Returns whether a partition separates two domains.
  [[nodiscard]] virtual bool IsCut(DomainId a, DomainId b) const = 0;
  // Returns the total number of flow records of all instances.
  [[nodiscard]] virtual std::size_t records() const = 0;
  // Returns the number of bytes that instances sent to each other; redirected
  // packets are not included.
  [[nodiscard]] virtual std::uint64_t control_bytes() const noexcept = 0;

  virtual void ResetBytes() = 0;

  void RunFor(Duration time) { queue().RunUntil(queue().now() + time); }
};

}  // namespace sapphirestream::fleet

#endif  // SAPPHIRESTREAM_BENCH_FLEET_SYSTEM_H_
