// The record that an instance keeps of a flow.
#ifndef SAPPHIRESTREAM_FLOW_FLOW_RECORD_H_
#define SAPPHIRESTREAM_FLOW_FLOW_RECORD_H_

#include <cstdint>

#include "sapphirestream/base/clock.h"
#include "sapphirestream/base/error.h"
#include "sapphirestream/base/id.h"
#include "sapphirestream/flow/flow_key.h"
#include "sapphirestream/flow/message.h"

namespace sapphirestream {

enum class RecordRole : std::uint8_t {
  kOwner,    // this instance steers the flow
  kReplica,  // backup copy of the record of another owner
};

struct FlowRecord {
  FlowKey key;
  std::uint64_t hash = 0;
  // kNoTarget while `is_pending` and for refused flows.
  TargetId target = kNoTarget;
  // Instance that the last copy was sent to, or kNoInstance.
  InstanceId replica = kNoInstance;
  RecordState state = RecordState::kOpening;
  RecordRole role = RecordRole::kOwner;
  // The first packet is held until a slot is free or the replica has
  // acknowledged the record.
  bool is_pending = false;
  // The replica must acknowledge the record before any packet is forwarded.
  bool needs_ack = false;
  // The placer of the service counts this flow as open on `target`.
  bool is_counted = false;
  // An instance may have a learned entry for this flow.
  bool was_learned = false;
  // Reason of a refusal.
  ErrorKind reason = ErrorKind::kNone;
  // Retransmissions of the same payload, and the arrival time of the first.
  std::uint8_t retransmits = 0;
  TimePoint first_retransmit;
  // Sequence number of the retransmitted payload.
  std::uint32_t retransmit_sequence = 0;
  // Sequence number of the first packet.
  std::uint32_t initial_sequence = 0;
  // Bit `id % 32` is set for each instance that has redirected a packet of the
  // flow here.
  std::uint32_t asker_bits = 0;
  TimePoint last_seen;
};

}  // namespace sapphirestream

#endif  // SAPPHIRESTREAM_FLOW_FLOW_RECORD_H_
