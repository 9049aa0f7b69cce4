// Estimates the size of a message on the wire.
#ifndef SAPPHIRESTREAM_BENCH_DISSEMINATION_TABLE_WIRE_SIZE_H_
#define SAPPHIRESTREAM_BENCH_DISSEMINATION_TABLE_WIRE_SIZE_H_

#include <cstddef>

#include "sapphirestream/domain/message.h"

namespace sapphirestream::internal {

// Returns 60 bytes for the IP, UDP and datagram headers plus the sizes of the
// message's fields: 2 bytes for a domain, 4 for an instance and for each count,
// 8 for a version, incarnation or sequence, 1 for a flag or state. Cap'n
// Proto's packing saves about as many bytes as its pointers add.
[[nodiscard]] std::size_t WireSize(const DomainMessage& message);

}  // namespace sapphirestream::internal

#endif  // SAPPHIRESTREAM_BENCH_DISSEMINATION_TABLE_WIRE_SIZE_H_
