// Bounded lock-free queues between a traffic thread and the control thread.
#ifndef SAPPHIRESTREAM_INSTANCE_TRAFFIC_QUEUES_H_
#define SAPPHIRESTREAM_INSTANCE_TRAFFIC_QUEUES_H_

#include <algorithm>
#include <array>
#include <boost/lockfree/spsc_queue.hpp>
#include <cstddef>
#include <cstdint>
#include <span>

#include "sapphirestream/base/id.h"
#include "sapphirestream/flow/flow_key.h"

namespace sapphirestream {

// Largest datagram from the fabric, header included; larger ones are dropped.
inline constexpr std::size_t kMaxDatagramSize = 2'048;

// An inner packet that is passed to the control thread for a decision.
class EscalatedPacket {
 public:
  EscalatedPacket() = default;
  // `inner` has at most kMaxDatagramSize bytes.
  EscalatedPacket(ServiceId service, bool repeated,
                  std::span<const std::byte> inner) noexcept
      : service_(service), repeated_(repeated), size_(inner.size()) {
    std::copy(inner.begin(), inner.end(), bytes_.begin());
  }
  // Copies only the bytes in use.
  EscalatedPacket(const EscalatedPacket& other) noexcept
      : EscalatedPacket(other.service_, other.repeated_, other.inner()) {}
  EscalatedPacket& operator=(const EscalatedPacket&) = delete;
  ~EscalatedPacket() = default;

  [[nodiscard]] ServiceId service() const noexcept { return service_; }
  [[nodiscard]] bool repeated() const noexcept { return repeated_; }
  [[nodiscard]] std::span<const std::byte> inner() const noexcept {
    return std::span(bytes_).first(size_);
  }

 private:
  ServiceId service_{};
  bool repeated_ = false;
  std::size_t size_ = 0;
  std::array<std::byte, kMaxDatagramSize> bytes_;
};

// Sets the target of a flow in a traffic thread; kNoTarget removes the flow.
struct LearnCommand {
  FlowKey key;
  TargetId target = kNoTarget;
};

struct TrafficQueues {
  // About 2 MiB per thread.
  static constexpr std::size_t kEscalatedCapacity = 1'024;
  static constexpr std::size_t kEndedCapacity = 4'096;
  static constexpr std::size_t kLearnCapacity = 16'384;

  // From the traffic thread.
  boost::lockfree::spsc_queue<EscalatedPacket> escalated{kEscalatedCapacity};
  boost::lockfree::spsc_queue<FlowKey> ended{kEndedCapacity};
  // To the traffic thread.
  boost::lockfree::spsc_queue<LearnCommand> learned{kLearnCapacity};
};

}  // namespace sapphirestream

#endif  // SAPPHIRESTREAM_INSTANCE_TRAFFIC_QUEUES_H_
