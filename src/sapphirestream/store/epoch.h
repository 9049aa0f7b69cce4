// Binds callbacks to the current step of an object, so that late ones are
// ignored.
#ifndef SAPPHIRESTREAM_STORE_EPOCH_H_
#define SAPPHIRESTREAM_STORE_EPOCH_H_

#include <cstdint>
#include <memory>
#include <utility>

namespace sapphirestream {

// A member of the object that makes the calls. Not copyable: bound callbacks
// belong to one object.
template <typename Owner>
class Epoch {
 public:
  explicit Epoch(Owner& owner)
      : state_(std::make_shared<State>(State{owner, 0})) {}
  Epoch(const Epoch&) = delete;
  Epoch& operator=(const Epoch&) = delete;

  // From now on, callbacks that were bound before are ignored.
  void Begin() noexcept { ++state_->number; }
  // Wraps `step(owner, arguments...)` so that it runs only if no later epoch
  // has begun and the owner still exists.
  template <typename Step>
  [[nodiscard]] auto Bind(Step step) const {
    return [weak = std::weak_ptr<State>(state_), number = state_->number,
            step = std::move(step)](auto&&... arguments) {
      const auto state = weak.lock();
      if (!state || state->number != number) return;
      step(state->owner, std::forward<decltype(arguments)>(arguments)...);
    };
  }

 private:
  struct State {
    Owner& owner;
    std::uint64_t number = 0;
  };

  // Expires with the owner.
  std::shared_ptr<State> state_;
};

}  // namespace sapphirestream

#endif  // SAPPHIRESTREAM_STORE_EPOCH_H_
