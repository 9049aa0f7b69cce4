// Converts messages to their Cap'n Proto form.
#ifndef SAPPHIRESTREAM_LINK_WIRE_WRITER_H_
#define SAPPHIRESTREAM_LINK_WIRE_WRITER_H_

#include "sapphirestream/domain/message.h"
#include "sapphirestream/flow/message.h"
#include "sapphirestream/link/messages.capnp.h"

namespace sapphirestream::internal {

// Each overload sets the union member of `root` for its message type.
void Write(const Heartbeat& message, wire::PeerMessage::Builder root);
void Write(const Probe& message, wire::PeerMessage::Builder root);
void Write(const ProbeAck& message, wire::PeerMessage::Builder root);
void Write(const Leave& message, wire::PeerMessage::Builder root);
void Write(const ConfigDelta& message, wire::PeerMessage::Builder root);
void Write(const ConfigPull& message, wire::PeerMessage::Builder root);
void Write(const ConfigChunk& message, wire::PeerMessage::Builder root);
void Write(const ConfigConfirm& message, wire::PeerMessage::Builder root);
void Write(const Redirect& message, wire::PeerMessage::Builder root);
void Write(const Learn& message, wire::PeerMessage::Builder root);
void Write(const RecordBatch& message, wire::PeerMessage::Builder root);
void Write(const RecordAck& message, wire::PeerMessage::Builder root);
void Write(const RecordPull& message, wire::PeerMessage::Builder root);
void Write(const RecordPage& message, wire::PeerMessage::Builder root);
void Write(const FlowEnd& message, wire::PeerMessage::Builder root);
void Write(const PlacementCounts& message, wire::PeerMessage::Builder root);

}  // namespace sapphirestream::internal

#endif  // SAPPHIRESTREAM_LINK_WIRE_WRITER_H_
