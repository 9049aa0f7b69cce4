// Estimate of what a message costs on the wire.
#ifndef SAPPHIRESTREAM_BENCH_DISSEMINATION_TABLE_WIRE_SIZE_H_
#define SAPPHIRESTREAM_BENCH_DISSEMINATION_TABLE_WIRE_SIZE_H_

#include <cstddef>

#include "sapphirestream/domain/message.h"

namespace sapphirestream::internal {

// Returns 60 bytes for the headers of IP, UDP and the datagram, plus the sizes
// of the message's fields: 2 bytes for a domain, 4 for an instance and for
// each count, 8 for a version, incarnation or sequence, 1 for a flag or state.
// Packing by Cap'n Proto saves about as much as its pointers cost.
[[nodiscard]] std::size_t WireSize(const DomainMessage& message);

}  // namespace sapphirestream::internal

#endif  // SAPPHIRESTREAM_BENCH_DISSEMINATION_TABLE_WIRE_SIZE_H_
