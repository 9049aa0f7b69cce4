// Remembers which instances were asked for the record of a flow, so that one
// that does not answer is not asked for ever.
#ifndef SAPPHIRESTREAM_FLOW_LOOKUP_LOG_H_
#define SAPPHIRESTREAM_FLOW_LOOKUP_LOG_H_

#include <cstddef>
#include <cstdint>
#include <vector>

#include "sapphirestream/base/clock.h"

namespace sapphirestream {

class LookupLog {
 public:
  LookupLog() : cells_(kCells) {}

  // Returns how many instances were asked for the flow before: packets that
  // come while an answer may be on its way count as one question. A collision
  // between flows costs a repeated or a skipped question.
  [[nodiscard]] std::size_t Next(std::uint64_t hash, TimePoint now) noexcept {
    Cell& cell = cells_[(hash >> 8) % kCells];
    if (cell.hash != hash || now - cell.asked >= kForgotten) {
      cell = {hash, now, 0};
    } else if (now - cell.asked >= kAnswerTime) {
      cell.asked = now;
      ++cell.questions;
    }
    return cell.questions;
  }

 private:
  static constexpr std::size_t kCells = 4'096;
  // Twice the longest way between domains and back.
  static constexpr Duration kAnswerTime = std::chrono::milliseconds(100);
  static constexpr Duration kForgotten = std::chrono::seconds(10);
  struct Cell {
    std::uint64_t hash = 0;
    TimePoint asked;
    std::size_t questions = 0;
  };

  std::vector<Cell> cells_;
};

}  // namespace sapphirestream

#endif  // SAPPHIRESTREAM_FLOW_LOOKUP_LOG_H_
