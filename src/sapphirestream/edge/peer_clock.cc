#include "sapphirestream/edge/peer_clock.h"

#include "sapphirestream/base/id.h"

namespace sapphirestream {
namespace {

// Wraps around like the clocks of peers.
std::uint32_t FloorToMs(Duration duration) noexcept {
  return static_cast<std::uint32_t>(
      std::chrono::floor<std::chrono::milliseconds>(duration).count());
}

}  // namespace

PeerTime PeerClock::ToPeerTime(TimePoint time) const noexcept {
  return PeerTime{origin_ + FloorToMs(time - started_)};
}

std::optional<TimePoint> PeerClock::FromPeerTime(PeerTime time,
                                                 TimePoint now) const noexcept {
  // Unsigned, so that a time in the future is out of range too.
  const std::chrono::milliseconds age(Value(ToPeerTime(now)) - Value(time));
  // `now` was rounded down.
  constexpr std::chrono::milliseconds rounding(1);
  const TimePoint converted = now - age - rounding;
  if (age > kMaxAge || converted < started_) return std::nullopt;
  return converted;
}

PeerTime PeerClockReading::At(TimePoint time) const noexcept {
  return PeerTime{Value(sent) + FloorToMs(time - received)};
}

}  // namespace sapphirestream
