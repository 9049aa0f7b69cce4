// The lifecycle of a target as a scheduler sees it; docs/lifecycles.md has the
// transition table.
#ifndef SAPPHIRESTREAM_TARGET_TARGET_LIFECYCLE_H_
#define SAPPHIRESTREAM_TARGET_TARGET_LIFECYCLE_H_

#include <cstddef>
#include <cstdint>
#include <memory>
#include <string_view>

namespace sapphirestream {

enum class TargetState : std::uint8_t {
  kJoining,   // configured; its slow start has not begun
  kWarming,   // gets a growing share of new flows
  kActive,    // gets its full share
  kDraining,  // keeps its flows, gets no new ones
  kFailed,    // flows show that it does not answer; gets no new ones
  kRemoved,   // no longer configured; its remaining flows are still counted
};

[[nodiscard]] constexpr std::string_view Name(TargetState state) noexcept {
  constexpr std::string_view names[] = {"joining",  "warming", "active",
                                        "draining", "failed",  "removed"};
  return names[static_cast<std::size_t>(state)];
}

enum class TargetEvent : std::uint8_t {
  kFound,     // the target was configured before this scheduler began
  kStarted,   // slow start begins
  kWarmedUp,  // slow start is over
  kDrained,   // the configuration marks the target as draining
  kLost,      // flows show that the target does not answer
  kRetried,   // a lost target gets another chance
  kRemoved,   // the configuration no longer has the target
};

class TargetLifecycle {
 public:
  TargetLifecycle();
  ~TargetLifecycle();
  TargetLifecycle(TargetLifecycle&&) noexcept;
  TargetLifecycle& operator=(TargetLifecycle&&) noexcept;

  // Applies an event; returns false if it means nothing in this state.
  bool Apply(TargetEvent event);
  [[nodiscard]] TargetState state() const noexcept;
  // Whether the target may get new flows.
  [[nodiscard]] bool accepts() const noexcept {
    return state() == TargetState::kWarming || state() == TargetState::kActive;
  }

 private:
  // Keeps Boost.MSM out of this header, since it compiles slowly.
  class Machine;
  std::unique_ptr<Machine> machine_;
};

}  // namespace sapphirestream

#endif  // SAPPHIRESTREAM_TARGET_TARGET_LIFECYCLE_H_
