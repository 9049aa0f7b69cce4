// What an instance keeps about one flow.
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
  kOwner,    // this instance decides about the flow
  kReplica,  // a copy for the time when the owner is gone
};

struct FlowRecord {
  FlowKey key;
  std::uint64_t hash = 0;
  // kNoTarget while `is_pending` and for refused flows.
  TargetId target = kNoTarget;
  // Where the last copy was sent; kNoInstance if nowhere.
  InstanceId replica = kNoInstance;
  RecordState state = RecordState::kOpening;
  RecordRole role = RecordRole::kOwner;
  // The first packet is held: for a slot or for the replica's acknowledgement.
  bool is_pending = false;
  // The replica must acknowledge the record before a packet is forwarded.
  bool needs_ack = false;
  // The service's placer counts the flow as open on `target`.
  bool is_counted = false;
  // Some instance may have learned the target.
  bool was_learned = false;
  // Why the flow was refused.
  ErrorKind reason = ErrorKind::kNone;
  // Marked copies of the same bytes, and when the first of them came.
  std::uint8_t repeats = 0;
  TimePoint first_repeat;
  // Sequence number of these bytes.
  std::uint32_t repeat_sequence = 0;
  // Sequence number of the first packet.
  std::uint32_t initial_sequence = 0;
  // Bit `id % 32` of each instance that redirected a packet.
  std::uint32_t askers = 0;
  TimePoint last_seen;
};

}  // namespace sapphirestream

#endif  // SAPPHIRESTREAM_FLOW_FLOW_RECORD_H_
