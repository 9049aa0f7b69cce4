// Virtual time: timers that fire only while the test lets time pass.
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
    // The id keeps timers of the same instant in order.
    due_.emplace(std::pair(now_ + delay, id), std::move(action));
    instants_.emplace(id, now_ + delay);
    return TimerId{id};
  }
  void Cancel(TimerId id) noexcept override {
    const auto it = instants_.find(Value(id));
    if (it == instants_.end()) return;
    due_.erase({it->second, it->first});
    instants_.erase(it);
  }

  // Lets time pass and fires what becomes due.
  void RunFor(Duration span) {
    const TimePoint end = now_ + span;
    while (!due_.empty() && due_.begin()->first.first <= end) {
      const auto first = due_.begin();
      if (first->first.first > now_) now_ = first->first.first;
      const auto action = std::move(first->second);
      instants_.erase(first->first.second);
      due_.erase(first);
      action();
    }
    now_ = end;
  }
  // Lets time pass while the process is paused: timers fire late, afterwards.
  void Pause(Duration span) {
    now_ += span;
    RunFor(Duration::zero());
  }

 private:
  // Starts away from zero, since zero often means "never".
  TimePoint now_{std::chrono::seconds(1000)};
  std::uint64_t last_id_ = 0;
  std::map<std::pair<TimePoint, std::uint64_t>, std::function<void()>> due_;
  std::map<std::uint64_t, TimePoint> instants_;
};

}  // namespace sapphirestream::testing

#endif  // SAPPHIRESTREAM_TESTING_VIRTUAL_TIME_H_
