// Detects TCP retransmissions.
#ifndef SAPPHIRESTREAM_FLOW_RETRANSMISSION_DETECTOR_H_
#define SAPPHIRESTREAM_FLOW_RETRANSMISSION_DETECTOR_H_

#include <array>
#include <cstddef>
#include <cstdint>
#include <vector>

#include "sapphirestream/flow/packet.h"

namespace sapphirestream {

// Keeps the last payload packet of each flow in a hash-indexed table. A
// collision between flows only delays the detection.
class RetransmissionDetector {
 public:
  RetransmissionDetector() : cells_(kCells) {}

  // Stores a packet. Returns whether the last payload packet of the flow seen
  // here had the same sequence number and size.
  [[nodiscard]] bool IsRetransmission(const Packet& packet) noexcept {
    if (packet.key.protocol != Protocol::kTcp || packet.payload_size == 0) {
      return false;
    }
    Cell& cell = cells_[(packet.hash >> 8) % kCells];
    const Cell seen{packet.hash, packet.sequence, packet.payload_size};
    if (cell == seen) return true;
    cell = seen;
    return false;
  }

 private:
  static constexpr std::size_t kCells = 16'384;
  struct Cell {
    std::uint64_t hash = 0;
    std::uint32_t sequence = 0;
    std::uint32_t payload_size = 0;

    bool operator==(const Cell&) const = default;
  };

  std::vector<Cell> cells_;
};

}  // namespace sapphirestream

#endif  // SAPPHIRESTREAM_FLOW_RETRANSMISSION_DETECTOR_H_
