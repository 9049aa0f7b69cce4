// Messages between instances about flows.
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

// A packet that is forwarded to the owner of its flow.
struct Redirect {
  // Instance that received the packet from the fabric.
  InstanceId asker = kNoInstance;
  // Remaining number of redirects.
  std::uint8_t hop_limit = 0;
  ServiceId service{};
  // The asker has seen the same payload of the flow before.
  bool repeated = false;
  // The unmodified inner IP packet.
  std::string packet;
  bool operator==(const Redirect&) const = default;
};

// Reports the target of a flow to the asker of a redirect.
struct Learn {
  FlowKey key;
  TargetId target = kNoTarget;
  bool operator==(const Learn&) const = default;
};

// A flow record as it is sent to another instance.
struct RecordCopy {
  FlowKey key;
  TargetId target = kNoTarget;
  RecordState state = RecordState::kOpening;
  bool operator==(const RecordCopy&) const = default;
};

// Records sent by an owner to a replica or to the new owner. A nonzero
// `sequence` requests a RecordAck. `handover` makes the receiver the owner.
// `urgent` requests an immediate acknowledgement, since a packet is held for
// it.
struct RecordBatch {
  std::uint64_t sequence = 0;
  bool handover = false;
  bool urgent = false;
  std::vector<RecordCopy> records;
  bool operator==(const RecordBatch&) const = default;
};

// Acknowledges batches by their sequence numbers.
struct RecordAck {
  std::vector<std::uint64_t> accepted;
  // The receiver has a different record for one of the flows, or considers
  // another instance to be the owner.
  std::vector<std::uint64_t> refused;

  bool operator==(const RecordAck&) const = default;
};

// Requests, from `cursor` on, the records of a service whose home domain is
// that of the sender.
struct RecordPull {
  ServiceId service{};
  DomainId domain{};
  std::uint64_t cursor = 0;
  bool operator==(const RecordPull&) const = default;
};

// Answers a RecordPull. `next_cursor` is 0 on the last page.
struct RecordPage {
  ServiceId service{};
  DomainId domain{};
  std::uint64_t next_cursor = 0;
  std::vector<RecordCopy> records;
  bool operator==(const RecordPage&) const = default;
};

// Flows closed by their clients; sent to the owner by the instance that
// received the closing packet.
struct FlowEnd {
  std::vector<FlowKey> flows;
  bool operator==(const FlowEnd&) const = default;
};

// Number of open flows that the sender has placed on each target of a service.
struct PlacementCounts {
  ServiceId service{};
  std::vector<PlacementCount> counts;
  bool operator==(const PlacementCounts&) const = default;
};

// Messages that Steering sends and receives, except Redirect.
using FlowMessage = std::variant<Learn, RecordBatch, RecordAck, RecordPull,
                                 RecordPage, FlowEnd, PlacementCounts>;

}  // namespace sapphirestream

#endif  // SAPPHIRESTREAM_FLOW_MESSAGE_H_
