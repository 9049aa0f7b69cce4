// A sliding window over sequence numbers, which rejects those seen before.
#ifndef SAPPHIRESTREAM_LINK_REPLAY_WINDOW_H_
#define SAPPHIRESTREAM_LINK_REPLAY_WINDOW_H_

#include <bitset>
#include <cstddef>
#include <cstdint>

namespace sapphirestream {

class ReplayWindow {
 public:
  // Numbers of this distance behind the highest are still told apart. At
  // thousands of redirects per second the window covers about 200 ms of
  // reordering.
  static constexpr std::uint64_t kSize = 1'024;

  // Returns whether the number is new and remembers it. Numbers start at 1;
  // those older than the window count as seen.
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
  // Bit n stands for the one number of the window that equals n modulo kSize.
  std::bitset<kSize> seen_;
};

}  // namespace sapphirestream

#endif  // SAPPHIRESTREAM_LINK_REPLAY_WINDOW_H_
