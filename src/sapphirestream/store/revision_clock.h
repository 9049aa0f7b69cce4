// Tells up to which time a view of a store is complete.
#ifndef SAPPHIRESTREAM_STORE_REVISION_CLOCK_H_
#define SAPPHIRESTREAM_STORE_REVISION_CLOCK_H_

#include <algorithm>
#include <cstddef>
#include <deque>
#include <optional>

#include "sapphirestream/base/clock.h"
#include "sapphirestream/base/revision_time.h"
#include "sapphirestream/base/store_revision.h"

namespace sapphirestream {

// Remembers which revision the store had reached at which time. The revision is
// common to all collections of the store, so that a current read of one
// collection also tells the age of a cached read of another one.
class RevisionClock final : public StoreProgress {
 public:
  // A current read that began at `time` was answered at `revision`: all changes
  // that were acknowledged before `time` have this revision or a lower one.
  void Observe(TimePoint time, StoreRevision revision) {
    const auto is_stronger = [&](const RevisionTime& mark) {
      return mark.time >= time && mark.revision <= revision;
    };
    if (std::any_of(marks_.begin(), marks_.end(), is_stronger)) return;
    std::erase_if(marks_, [&](const RevisionTime& mark) {
      return mark.time <= time && mark.revision >= revision;
    });
    const auto next = std::find_if(
        marks_.begin(), marks_.end(),
        [&](const RevisionTime& mark) { return mark.revision > revision; });
    marks_.insert(next, {time, revision});
    if (marks_.size() > kMaxMarks) marks_.pop_front();
  }

  // Returns the time before which all acknowledged changes have `revision` or a
  // lower one; unset if it is not known.
  [[nodiscard]] TimePoint CompleteUntil(StoreRevision revision) const noexcept {
    TimePoint time{};
    for (const RevisionTime& mark : marks_) {
      if (mark.revision <= revision) time = mark.time;
    }
    return time;
  }
  // StoreProgress. The store's revision never falls, so a later time with a
  // lower revision is wrong.
  [[nodiscard]] std::optional<RevisionTime> Latest() const override {
    if (marks_.empty()) return std::nullopt;
    return marks_.back();
  }
  bool Merge(const RevisionTime& time) override {
    if (!marks_.empty() && (time.time <= marks_.back().time ||
                            time.revision < marks_.back().revision)) {
      return false;
    }
    Observe(time.time, time.revision);
    return true;
  }
  // Returns the start of the latest current read, own or of a peer; unset if
  // none is known.
  [[nodiscard]] TimePoint LatestTime() const noexcept {
    return marks_.empty() ? TimePoint{} : marks_.back().time;
  }

 private:
  // More than the current reads that are made while a cached read lags behind.
  static constexpr std::size_t kMaxMarks = 32;

  // Ascending by time and by revision.
  std::deque<RevisionTime> marks_;
};

}  // namespace sapphirestream

#endif  // SAPPHIRESTREAM_STORE_REVISION_CLOCK_H_
