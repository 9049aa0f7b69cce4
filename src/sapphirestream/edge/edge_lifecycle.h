// The lifecycle of an edge instance; docs/lifecycles.md has the transition
// table.
#ifndef SAPPHIRESTREAM_EDGE_EDGE_LIFECYCLE_H_
#define SAPPHIRESTREAM_EDGE_EDGE_LIFECYCLE_H_

#include <cstdint>
#include <memory>
#include <string_view>

namespace sapphirestream {

enum class EdgeState : std::uint8_t {
  kLoading,  // routes or targets have not been read yet
  kServing,
  kLeaving,  // asked to stop; forwards packets until no more arrive
  kStopped,
};

[[nodiscard]] std::string_view Name(EdgeState state) noexcept;

enum class EdgeEvent : std::uint8_t {
  kLoaded,         // routes and targets have been read
  kStopRequested,  // SIGTERM or SIGINT
  kDrainFinished,  // no packets for a while, or the grace period has expired
};

class EdgeLifecycle {
 public:
  EdgeLifecycle();
  ~EdgeLifecycle();
  EdgeLifecycle(const EdgeLifecycle&) = delete;
  EdgeLifecycle& operator=(const EdgeLifecycle&) = delete;

  // Applies an event; returns false if the current state ignores it.
  bool Apply(EdgeEvent event);
  [[nodiscard]] EdgeState state() const noexcept;

 private:
  // Keeps Boost.MSM, which is slow to compile, out of this header.
  class Machine;
  std::unique_ptr<Machine> machine_;
};

}  // namespace sapphirestream

#endif  // SAPPHIRESTREAM_EDGE_EDGE_LIFECYCLE_H_
