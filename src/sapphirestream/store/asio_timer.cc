// Pending timers are kept in a map until they fire or are cancelled.
#include "sapphirestream/store/asio_timer.h"

#include <utility>

#include "sapphirestream/base/id.h"

namespace sapphirestream {

TimerId AsioTimer::After(Duration delay, std::function<void()> action) {
  const std::uint64_t id = ++last_id_;
  auto& timer =
      *(timers_[id] = std::make_unique<boost::asio::steady_timer>(context_));
  timer.expires_after(
      std::chrono::duration_cast<boost::asio::steady_timer::duration>(delay));
  timer.async_wait([this, id, action = std::move(action)](
                       const boost::system::error_code& error) {
    // A cancelled timer is no longer in the map. Its handler runs with an error
    // and must not access `this`.
    if (error || timers_.erase(id) == 0) return;
    action();
  });
  return TimerId{id};
}

void AsioTimer::Cancel(TimerId id) noexcept { timers_.erase(Value(id)); }

}  // namespace sapphirestream
