// Tells when the store was last reached again after an outage.
#ifndef SAPPHIRESTREAM_EDGE_IO_STORE_RETURN_H_
#define SAPPHIRESTREAM_EDGE_IO_STORE_RETURN_H_

#include <algorithm>
#include <map>
#include <optional>
#include <string>
#include <string_view>

#include "sapphirestream/base/clock.h"

namespace sapphirestream {

// The reader of each collection notices an outage by itself, and its end as
// well, when it is its turn to try. The first one of them that gets an answer
// shows that the store is back; the others may follow seconds later.
class StoreReturn {
 public:
  // The reader of a collection has lost the store.
  void OnLost(std::string_view collection) {
    if (const auto it = answered_.find(collection); it != answered_.end()) {
      answered_.erase(it);
    }
  }
  // The reader of a collection has reached the store after it was `away`.
  // `may_expire_entries`: whether an outage of this length is long enough.
  void OnRegained(std::string_view collection, Duration away,
                  bool may_expire_entries, TimePoint now) {
    TimePoint returned = now;
    for (const auto& [name, answered] : answered_) {
      const bool is_same_outage = answered > now - away;
      if (is_same_outage) returned = std::min(returned, answered);
    }
    answered_.insert_or_assign(std::string(collection), now);
    if (may_expire_entries) Set(returned);
  }
  // Something else has shown that the store was away until `time`.
  void Set(TimePoint time) noexcept {
    time_ = time_ ? std::max(*time_, time) : time;
  }
  // Unset before the first outage.
  [[nodiscard]] std::optional<TimePoint> time() const noexcept { return time_; }

 private:
  // When the reader of each collection reached the store again, while it has
  // not lost it since.
  std::map<std::string, TimePoint, std::less<>> answered_;
  std::optional<TimePoint> time_;
};

}  // namespace sapphirestream

#endif  // SAPPHIRESTREAM_EDGE_IO_STORE_RETURN_H_
