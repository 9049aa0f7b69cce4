// Messages of membership and configuration dissemination between instances.
#ifndef SAPPHIRESTREAM_DOMAIN_MESSAGE_H_
#define SAPPHIRESTREAM_DOMAIN_MESSAGE_H_

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

#include "sapphirestream/base/id.h"
#include "sapphirestream/domain/member_view.h"

namespace sapphirestream {

// The highest heartbeat sequence that the sender received from `instance`.
struct HeartbeatEcho {
  InstanceId instance = kNoInstance;
  std::uint64_t sequence = 0;

  bool operator==(const HeartbeatEcho&) const = default;
};

// Periodic liveness message. The sender's id is in the datagram's header.
struct Heartbeat {
  DomainId domain{};
  Incarnation incarnation{};
  std::uint64_t sequence = 0;
  ConfigVersion prepared{};
  ConfigVersion active{};
  bool leaving = false;
  std::vector<HeartbeatEcho> echoes;
  // Members whose state changed recently, as the sender sees them.
  std::vector<Member> members;

  bool operator==(const Heartbeat&) const = default;
};

// Asks the receiver to find out whether `subject` is alive.
struct Probe {
  InstanceId subject = kNoInstance;
  std::uint64_t nonce = 0;
  bool operator==(const Probe&) const = default;
};

struct ProbeAck {
  InstanceId subject = kNoInstance;
  Incarnation incarnation{};
  std::uint64_t nonce = 0;
  bool operator==(const ProbeAck&) const = default;
};

// The sender is shutting down in an orderly way and takes no new work.
struct Leave {
  Incarnation incarnation{};
  bool operator==(const Leave&) const = default;
};

// Part of a configuration in the JSON form of module contract. With a `base` of
// zero it is a snapshot, otherwise a delta that applies to version `base` only.
// A body longer than one datagram is split into chunks.
struct ConfigChunk {
  ConfigVersion base{};
  ConfigVersion version{};
  std::uint32_t index = 0;
  std::uint32_t count = 1;
  std::string body;
  bool operator==(const ConfigChunk&) const = default;
};

// A delta that fits one datagram, pushed down the relay tree.
struct ConfigDelta {
  ConfigVersion base{};
  ConfigVersion version{};
  std::string body;
  bool operator==(const ConfigDelta&) const = default;
};

// Requests what the sender needs to get from version `have` to the receiver's
// newest one. `index` requests one chunk again, kAllChunks all of them.
struct ConfigPull {
  static constexpr std::uint32_t kAllChunks = 0xffffffff;
  ConfigVersion have{};
  ConfigVersion wanted{};
  std::uint32_t index = kAllChunks;
  bool operator==(const ConfigPull&) const = default;
};

// Tells the parent in the relay tree how many instances of the subtree have
// prepared and activated `version`.
struct ConfigConfirm {
  ConfigVersion version{};
  DomainId domain{};
  std::uint32_t prepared = 0;
  std::uint32_t active = 0;
  // Live instances in the subtree.
  std::uint32_t live = 0;
  // Some of the instances that have not prepared it, shown to operators.
  std::vector<InstanceId> lagging;
  bool operator==(const ConfigConfirm&) const = default;
};

using DomainMessage =
    std::variant<Heartbeat, Probe, ProbeAck, Leave, ConfigChunk, ConfigDelta,
                 ConfigPull, ConfigConfirm>;

}  // namespace sapphirestream

#endif  // SAPPHIRESTREAM_DOMAIN_MESSAGE_H_
