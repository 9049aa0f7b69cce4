// All messages between instances, and their codec.
#ifndef SAPPHIRESTREAM_LINK_PEER_MESSAGE_H_
#define SAPPHIRESTREAM_LINK_PEER_MESSAGE_H_

#include <cstddef>
#include <cstdint>
#include <span>
#include <variant>
#include <vector>

#include "sapphirestream/base/error.h"
#include "sapphirestream/domain/message.h"
#include "sapphirestream/flow/message.h"

namespace sapphirestream {

using PeerMessage =
    std::variant<Heartbeat, Probe, ProbeAck, Leave, ConfigDelta, ConfigPull,
                 ConfigChunk, ConfigConfirm, Redirect, Learn, RecordBatch,
                 RecordAck, RecordPull, RecordPage, FlowEnd, PlacementCounts>;

// Appends the packed Cap'n Proto encoding of a message to `out`.
void EncodePeerMessage(const PeerMessage& message, std::vector<std::byte>& out);

// Decodes a message. Errors: kMalformedMessage. The unpacked encoding is
// limited to 64 KiB and each list to 2,048 elements, which bounds the memory
// use.
[[nodiscard]] leaf::result<PeerMessage> DecodePeerMessage(
    std::span<const std::byte> bytes);

}  // namespace sapphirestream

#endif  // SAPPHIRESTREAM_LINK_PEER_MESSAGE_H_
