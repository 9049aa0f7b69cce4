// Converts messages from their Cap'n Proto form.
#ifndef SAPPHIRESTREAM_LINK_WIRE_READER_H_
#define SAPPHIRESTREAM_LINK_WIRE_READER_H_

#include "sapphirestream/link/messages.capnp.h"
#include "sapphirestream/link/peer_message.h"

namespace sapphirestream::internal {

// Converts a message. Returns false if a value is out of range or the message
// type is unknown. Throws kj::Exception if the encoding is malformed.
[[nodiscard]] bool Read(wire::PeerMessage::Reader root, PeerMessage& out);

}  // namespace sapphirestream::internal

#endif  // SAPPHIRESTREAM_LINK_WIRE_READER_H_
