// Records lookups of flow records at other instances, so that an instance that
// does not answer is not asked forever.
#ifndef SAPPHIRESTREAM_FLOW_LOOKUP_LOG_H_
#define SAPPHIRESTREAM_FLOW_LOOKUP_LOG_H_

#include <cstddef>
#include <cstdint>
#include <vector>

#include "sapphirestream/base/clock.h"

namespace sapphirestream {

class LookupLog {
 public:
  LookupLog() : entries_(kEntries) {}

  // Returns how many earlier lookups for the flow are unanswered. A lookup is
  // unanswered if the client retransmits the same bytes kAnswerTimeout or more
  // after it; packets that arrive earlier belong to the same lookup. A hash
  // collision costs one repeated or one skipped lookup.
  [[nodiscard]] std::size_t CountUnanswered(std::uint64_t hash,
                                            std::uint32_t sequence,
                                            TimePoint now) noexcept {
    Entry& entry = entries_[(hash >> 8) % kEntries];
    if (entry.hash != hash || entry.sequence != sequence ||
        now - entry.last_lookup >= kEntryLifetime) {
      entry = {hash, sequence, now, 0};
    } else if (now - entry.last_lookup >= kAnswerTimeout) {
      entry.last_lookup = now;
      ++entry.unanswered;
    }
    return entry.unanswered;
  }

 private:
  static constexpr std::size_t kEntries = 4'096;
  // Member views of the instances may differ for up to this time after a
  // change; until then the instance that was asked may forward the lookup to
  // another.
  static constexpr Duration kAnswerTimeout = std::chrono::seconds(1);
  static constexpr Duration kEntryLifetime = std::chrono::seconds(10);
  struct Entry {
    std::uint64_t hash = 0;
    std::uint32_t sequence = 0;
    TimePoint last_lookup;
    std::size_t unanswered = 0;
  };

  std::vector<Entry> entries_;
};

}  // namespace sapphirestream

#endif  // SAPPHIRESTREAM_FLOW_LOOKUP_LOG_H_
