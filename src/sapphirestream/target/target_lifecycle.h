// Lifecycle of a target from the point of view of a scheduler;
// docs/lifecycles.md has the transition table.
#ifndef SAPPHIRESTREAM_TARGET_TARGET_LIFECYCLE_H_
#define SAPPHIRESTREAM_TARGET_TARGET_LIFECYCLE_H_

#include <cstddef>
#include <cstdint>
#include <memory>
#include <string_view>

namespace sapphirestream {

enum class TargetState : std::uint8_t {
  kJoining,   // configured; slow start has not begun
  kWarming,   // in slow start: gets a growing share of new flows
  kActive,    // gets its full share
  kDraining,  // keeps its flows but gets no new ones
  kFailed,    // does not answer; gets no new flows
  kRemoved,   // no longer configured; remaining flows are still counted
};

[[nodiscard]] constexpr std::string_view Name(TargetState state) noexcept {
  constexpr std::string_view names[] = {"joining",  "warming", "active",
                                        "draining", "failed",  "removed"};
  return names[static_cast<std::size_t>(state)];
}

enum class TargetEvent : std::uint8_t {
  kFound,     // the target was configured before this scheduler started
  kStarted,   // slow start begins
  kWarmedUp,  // slow start has ended
  kDrained,   // the configuration marks the target as draining
  kLost,      // stalled flows show that the target does not answer
  kRetried,   // a lost target is tried again
  kRemoved,   // the target was removed from the configuration
};

class TargetLifecycle {
 public:
  TargetLifecycle();
  ~TargetLifecycle();
  TargetLifecycle(TargetLifecycle&&) noexcept;
  TargetLifecycle& operator=(TargetLifecycle&&) noexcept;

  // Applies an event. Returns false if the current state has no transition for
  // it.
  bool Apply(TargetEvent event);
  [[nodiscard]] TargetState state() const noexcept;
  // Returns whether the target accepts new flows.
  [[nodiscard]] bool accepts() const noexcept {
    return state() == TargetState::kWarming || state() == TargetState::kActive;
  }

 private:
  // Keeps Boost.MSM, which is slow to compile, out of this header.
  class Machine;
  std::unique_ptr<Machine> machine_;
};

}  // namespace sapphirestream

#endif  // SAPPHIRESTREAM_TARGET_TARGET_LIFECYCLE_H_
