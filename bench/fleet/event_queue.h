// Event queue in virtual time: events run in order of time, ties in order of
// insertion.
#ifndef SAPPHIRESTREAM_BENCH_FLEET_EVENT_QUEUE_H_
#define SAPPHIRESTREAM_BENCH_FLEET_EVENT_QUEUE_H_

#include <cstdint>
#include <functional>
#include <queue>
#include <utility>
#include <vector>

#include "sapphirestream/base/clock.h"

namespace sapphirestream::fleet {

class EventQueue {
 public:
  using Action = std::function<void()>;

  [[nodiscard]] TimePoint now() const noexcept { return now_; }
  // Schedules an event at `delay` from now.
  void After(Duration delay, Action action) {
    events_.push({now_ + delay, next_++, std::move(action)});
  }
  // Runs all events up to and including `end`.
  void RunUntil(TimePoint end) {
    while (!events_.empty() && events_.top().time <= end) {
      // The action may schedule events, so it is removed from the queue first.
      Event event = std::move(const_cast<Event&>(events_.top()));
      events_.pop();
      now_ = event.time;
      event.action();
    }
    now_ = end;
  }

 private:
  struct Event {
    TimePoint time;
    std::uint64_t order = 0;
    Action action;

    bool operator<(const Event& other) const noexcept {
      return std::pair(time, order) > std::pair(other.time, other.order);
    }
  };

  TimePoint now_{std::chrono::seconds(1000)};
  std::uint64_t next_ = 0;
  std::priority_queue<Event> events_;
};

}  // namespace sapphirestream::fleet

#endif  // SAPPHIRESTREAM_BENCH_FLEET_EVENT_QUEUE_H_
