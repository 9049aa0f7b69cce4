// Timer implementation on a Boost.Asio io_context.
#ifndef SAPPHIRESTREAM_STORE_ASIO_TIMER_H_
#define SAPPHIRESTREAM_STORE_ASIO_TIMER_H_

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <cstdint>
#include <functional>
#include <memory>
#include <unordered_map>

#include "sapphirestream/store/timer.h"

namespace sapphirestream {

// Must be destroyed only after the event loop has stopped.
class AsioTimer final : public Timer {
 public:
  explicit AsioTimer(boost::asio::io_context& context) : context_(context) {}

  TimerId After(Duration delay, std::function<void()> action) override;
  void Cancel(TimerId id) noexcept override;

 private:
  boost::asio::io_context& context_;
  std::uint64_t last_id_ = 0;
  std::unordered_map<std::uint64_t, std::unique_ptr<boost::asio::steady_timer>>
      timers_;
};

}  // namespace sapphirestream

#endif  // SAPPHIRESTREAM_STORE_ASIO_TIMER_H_
