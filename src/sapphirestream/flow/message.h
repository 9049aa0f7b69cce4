// Messages about flows between instances.
#ifndef SAPPHIRESTREAM_FLOW_MESSAGE_H_
#define SAPPHIRESTREAM_FLOW_MESSAGE_H_

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

#include "sapphirestream/base/id.h"
#include "sapphirestream/flow/flow_key.h"
#include "sapphirestream/target/placer.h"

namespace sapphirestream {

enum class RecordState : std::uint8_t {
  kOpening,
  kEstablished,
  kClosing,
  kRefused,
};

// A packet that the receiver decides about, since it owns the flow.
struct Redirect {
  // Instance that got the packet from the fabric.
  InstanceId asker = kNoInstance;
  // Redirects that may still follow.
  std::uint8_t hop_limit = 0;
  ServiceId service{};
  // The asker saw the same bytes of the flow before.
  bool repeated = false;
  // The inner IP packet, unmodified.
  std::string packet;
  bool operator==(const Redirect&) const = default;
};

// Tells the asker of a redirect where the flow's packets go.
struct Learn {
  FlowKey key;
  TargetId target = kNoTarget;
  bool operator==(const Learn&) const = default;
};

// A flow record in transit.
struct RecordCopy {
  FlowKey key;
  TargetId target = kNoTarget;
  RecordState state = RecordState::kOpening;
  bool operator==(const RecordCopy&) const = default;
};

// Records from an owner to the replica or to a new owner. A nonzero `sequence`
// asks for a RecordAck. `handover` makes the receiver the owner; `urgent` asks
// for the acknowledgement at once, since a packet waits for it.
struct RecordBatch {
  std::uint64_t sequence = 0;
  bool handover = false;
  bool urgent = false;
  std::vector<RecordCopy> records;
  bool operator==(const RecordBatch&) const = default;
};

// Acknowledges batches by their sequences.
struct RecordAck {
  std::vector<std::uint64_t> accepted;
  // The receiver holds a different record for one of the flows or believes
  // another instance to be the owner.
  std::vector<std::uint64_t> refused;

  bool operator==(const RecordAck&) const = default;
};

// Asks the replica for its records of a service whose home domain is the
// sender's, from `cursor` on.
struct RecordPull {
  ServiceId service{};
  DomainId domain{};
  std::uint64_t cursor = 0;
  bool operator==(const RecordPull&) const = default;
};

// Answers a RecordPull. `next_cursor` is 0 when nothing is left.
struct RecordPage {
  ServiceId service{};
  DomainId domain{};
  std::uint64_t next_cursor = 0;
  std::vector<RecordCopy> records;
  bool operator==(const RecordPage&) const = default;
};

// Flows whose client closed them, told to the owner by the instance that saw
// it.
struct FlowEnd {
  std::vector<FlowKey> flows;
  bool operator==(const FlowEnd&) const = default;
};

// Open flows that the sender has placed for a service.
struct PlacementCounts {
  ServiceId service{};
  std::vector<PlacementCount> counts;
  bool operator==(const PlacementCounts&) const = default;
};

// What Steering sends and receives, except redirected packets.
using FlowMessage = std::variant<Learn, RecordBatch, RecordAck, RecordPull,
                                 RecordPage, FlowEnd, PlacementCounts>;

}  // namespace sapphirestream

#endif  // SAPPHIRESTREAM_FLOW_MESSAGE_H_
