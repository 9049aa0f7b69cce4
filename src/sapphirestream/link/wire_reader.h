// Conversion of messages from their Cap'n Proto form.
#ifndef SAPPHIRESTREAM_LINK_WIRE_READER_H_
#define SAPPHIRESTREAM_LINK_WIRE_READER_H_

#include "sapphirestream/link/messages.capnp.h"
#include "sapphirestream/link/peer_message.h"

namespace sapphirestream::internal {

// Returns false if a value is out of its range or the message is of an unknown
// kind. Throws kj::Exception if the encoding is malformed.
[[nodiscard]] bool Read(wire::PeerMessage::Reader root, PeerMessage& out);

}  // namespace sapphirestream::internal

#endif  // SAPPHIRESTREAM_LINK_WIRE_READER_H_
