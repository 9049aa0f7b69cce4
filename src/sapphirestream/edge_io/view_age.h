// Age of the instance's view of one collection of the store.
#ifndef SAPPHIRESTREAM_EDGE_IO_VIEW_AGE_H_
#define SAPPHIRESTREAM_EDGE_IO_VIEW_AGE_H_

#include <algorithm>
#include <string>
#include <string_view>

#include "sapphirestream/base/clock.h"
#include "sapphirestream/base/counter.h"
#include "sapphirestream/base/event_log.h"

namespace sapphirestream {

// Reports a view that is older than its bound: it may lack a change that must
// be in force by now, e.g. that a target drains. The instance serves on with
// it, since the store may be away.
class ViewAge {
 public:
  // `collection` must outlive this object, and so must the references.
  ViewAge(std::string_view collection, EventLog& log, CounterSet& counters);

  void set_bound(Duration bound) noexcept { bound_ = bound; }
  // The view contains every change that was acknowledged before `time`. It does
  // not lose any when a reader starts again.
  void SetCompleteUntil(TimePoint time) noexcept {
    complete_until_ = std::max(complete_until_, time);
  }
  // Unset before the first list.
  [[nodiscard]] TimePoint complete_until() const noexcept {
    return complete_until_;
  }
  // Updates the gauge and logs when the age passes the bound, and when it is
  // below it again.
  void Report(TimePoint now);

 private:
  std::string_view collection_;
  EventLog& log_;
  Counter& age_;
  Counter& stale_;
  Duration bound_ = Duration::max();
  TimePoint complete_until_{};
  bool is_stale_ = false;
};

}  // namespace sapphirestream

#endif  // SAPPHIRESTREAM_EDGE_IO_VIEW_AGE_H_
