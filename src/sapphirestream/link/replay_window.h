// Replay protection: a sliding window over sequence numbers that rejects those
// received before.
#ifndef SAPPHIRESTREAM_LINK_REPLAY_WINDOW_H_
#define SAPPHIRESTREAM_LINK_REPLAY_WINDOW_H_

#include <bitset>
#include <cstddef>
#include <cstdint>

namespace sapphirestream {

class ReplayWindow {
 public:
  // Number of most recent sequence numbers that are tracked. At thousands of
  // redirects per second the window covers about 200 ms of reordering.
  static constexpr std::uint64_t kSize = 1'024;

  // Returns whether the sequence number is new, and records it. Numbers start
  // at 1; those older than the window are treated as seen.
  [[nodiscard]] bool Accept(std::uint64_t sequence) noexcept {
    if (sequence == 0 || sequence + kSize <= highest_) return false;
    if (sequence > highest_) {
      Advance(sequence);
    } else if (seen_.test(sequence % kSize)) {
      return false;
    }
    seen_.set(sequence % kSize);
    return true;
  }

 private:
  void Advance(std::uint64_t sequence) noexcept {
    if (sequence - highest_ >= kSize) {
      seen_.reset();
    } else {
      for (std::uint64_t s = highest_ + 1; s <= sequence; ++s) {
        seen_.reset(s % kSize);
      }
    }
    highest_ = sequence;
  }

  std::uint64_t highest_ = 0;
  // Bit n represents the sequence number in the window that equals n modulo
  // kSize.
  std::bitset<kSize> seen_;
};

}  // namespace sapphirestream

#endif  // SAPPHIRESTREAM_LINK_REPLAY_WINDOW_H_
