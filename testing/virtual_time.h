// Clock and timers in virtual time, which advances only when the test requests
// it.
#ifndef SAPPHIRESTREAM_TESTING_VIRTUAL_TIME_H_
#define SAPPHIRESTREAM_TESTING_VIRTUAL_TIME_H_

#include <cstdint>
#include <functional>
#include <map>
#include <utility>

#include "sapphirestream/base/clock.h"
#include "sapphirestream/base/id.h"
#include "sapphirestream/store/timer.h"

namespace sapphirestream::testing {

class VirtualTime final : public Clock, public Timer {
 public:
  [[nodiscard]] TimePoint Now() const noexcept override { return now_; }
  [[nodiscard]] WallTime WallNow() const noexcept override {
    return WallTime(std::chrono::duration_cast<std::chrono::milliseconds>(
        now_.time_since_epoch()));
  }

  TimerId After(Duration delay, std::function<void()> action) override {
    const std::uint64_t id = ++last_id_;
    // The id orders timers that are due at the same time.
    pending_.emplace(std::pair(now_ + delay, id), std::move(action));
    due_times_.emplace(id, now_ + delay);
    return TimerId{id};
  }
  void Cancel(TimerId id) noexcept override {
    const auto it = due_times_.find(Value(id));
    if (it == due_times_.end()) return;
    pending_.erase({it->second, it->first});
    due_times_.erase(it);
  }

  // Advances time and runs the timers that become due.
  void RunFor(Duration span) {
    const TimePoint end = now_ + span;
    while (!pending_.empty() && pending_.begin()->first.first <= end) {
      const auto first = pending_.begin();
      if (first->first.first > now_) now_ = first->first.first;
      const auto action = std::move(first->second);
      due_times_.erase(first->first.second);
      pending_.erase(first);
      action();
    }
    now_ = end;
  }
  // Advances time as if the process were paused: timers that become due run
  // late, after the pause.
  void Pause(Duration span) {
    now_ += span;
    RunFor(Duration::zero());
  }

 private:
  // Does not start at zero, since zero often means "never".
  TimePoint now_{std::chrono::seconds(1000)};
  std::uint64_t last_id_ = 0;
  std::map<std::pair<TimePoint, std::uint64_t>, std::function<void()>> pending_;
  std::map<std::uint64_t, TimePoint> due_times_;
};

}  // namespace sapphirestream::testing

#endif  // SAPPHIRESTREAM_TESTING_VIRTUAL_TIME_H_
