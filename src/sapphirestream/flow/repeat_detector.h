// Notices that a flow's client sends the same bytes again.
#ifndef SAPPHIRESTREAM_FLOW_REPEAT_DETECTOR_H_
#define SAPPHIRESTREAM_FLOW_REPEAT_DETECTOR_H_

#include <array>
#include <cstddef>
#include <cstdint>
#include <vector>

#include "sapphirestream/flow/packet.h"

namespace sapphirestream {

// Remembers the last TCP payload packet per cell. A collision between flows
// only delays the detection.
class RepeatDetector {
 public:
  RepeatDetector() : cells_(kCells) {}

  // Notes a packet; returns whether the flow's last payload packet seen here
  // had the same sequence number and size.
  [[nodiscard]] bool IsRepeat(const Packet& packet) noexcept {
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

#endif  // SAPPHIRESTREAM_FLOW_REPEAT_DETECTOR_H_
