// The lifecycle of an edge instance; docs/lifecycles.md has the transition
// table.
#ifndef SAPPHIRESTREAM_EDGE_EDGE_LIFECYCLE_H_
#define SAPPHIRESTREAM_EDGE_EDGE_LIFECYCLE_H_

#include <cstdint>
#include <memory>
#include <string_view>

namespace sapphirestream {

enum class EdgeState : std::uint8_t {
  kLoading,  // routes or targets are not known yet
  kServing,
  kLeaving,  // asked to stop; carries packets until the fabric sends no more
  kStopped,
};

[[nodiscard]] std::string_view Name(EdgeState state) noexcept;

enum class EdgeEvent : std::uint8_t {
  kLoaded,         // routes and targets are known
  kStopRequested,  // SIGTERM or SIGINT
  kQuiet,          // no packet came for a while, or the grace time is over
};

class EdgeLifecycle {
 public:
  EdgeLifecycle();
  ~EdgeLifecycle();
  EdgeLifecycle(const EdgeLifecycle&) = delete;
  EdgeLifecycle& operator=(const EdgeLifecycle&) = delete;

  // Applies an event; returns false if it means nothing in this state.
  bool Apply(EdgeEvent event);
  [[nodiscard]] EdgeState state() const noexcept;

 private:
  // Keeps Boost.MSM out of this header, since it compiles slowly.
  class Machine;
  std::unique_ptr<Machine> machine_;
};

}  // namespace sapphirestream

#endif  // SAPPHIRESTREAM_EDGE_EDGE_LIFECYCLE_H_
