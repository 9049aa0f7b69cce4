// Converts between the clocks of two processes without a common time.
#ifndef SAPPHIRESTREAM_EDGE_PEER_CLOCK_H_
#define SAPPHIRESTREAM_EDGE_PEER_CLOCK_H_

#include <cstdint>
#include <optional>

#include "sapphirestream/base/clock.h"

namespace sapphirestream {

// Milliseconds on the steady clock of one process since a random origin; wraps
// around. The origin is random so that times on the clock of a former process
// at the same address are out of range.
enum class PeerTime : std::uint32_t {};

class PeerClock {
 public:
  // Older times are not converted; reads of the store are told for 2 s.
  static constexpr Duration kMaxAge = std::chrono::seconds(10);

  PeerClock(std::uint32_t origin, TimePoint started) noexcept
      : origin_(origin), started_(started) {}

  // Returns a time that is not later than `time`.
  [[nodiscard]] PeerTime ToPeerTime(TimePoint time) const noexcept;
  // Returns a time that is not later than `time` was, or nothing if that is in
  // the future, before the start of this process or too long ago.
  [[nodiscard]] std::optional<TimePoint> FromPeerTime(
      PeerTime time, TimePoint now) const noexcept;

 private:
  std::uint32_t origin_;
  TimePoint started_;
};

// The clock of another process, as known from its last message.
struct PeerClockReading {
  // When the message was sent, on the clock of its sender.
  PeerTime sent{};
  // When it was handled, on the own clock: not earlier than its arrival, so
  // that At() errs towards earlier times.
  TimePoint received;

  // Returns a time on the clock of the sender that is not later than `time` on
  // the own clock: the message may have been on its way for any time.
  [[nodiscard]] PeerTime At(TimePoint time) const noexcept;
};

}  // namespace sapphirestream

#endif  // SAPPHIRESTREAM_EDGE_PEER_CLOCK_H_
