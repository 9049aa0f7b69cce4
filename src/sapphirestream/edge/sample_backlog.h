// Own samples that are still to be sent to peers.
#ifndef SAPPHIRESTREAM_EDGE_SAMPLE_BACKLOG_H_
#define SAPPHIRESTREAM_EDGE_SAMPLE_BACKLOG_H_

#include <cstddef>
#include <cstdint>
#include <map>
#include <vector>

#include "sapphirestream/base/clock.h"
#include "sapphirestream/edge/target_samples.h"

namespace sapphirestream {

// Merges the samples of a target that do not fit into a message. Counts of
// outstanding requests are repeated, because messages may be lost and peers may
// join after a count has last changed.
class SampleBacklog {
 public:
  // Repetitions of a count of zero; a nonzero count is repeated until it
  // changes.
  static constexpr std::uint8_t kZeroRepeats = 2;
  // Time between two repetitions of a count that is not reported again. A
  // little less than PeerExchange::kMaxSendInterval, so that an idle instance
  // repeats its counts in each message, and less than
  // OwnSamples::kRepeatInterval, so that messages that are sent anyway repeat
  // it earlier. Ends kMaxReportAge after the last report.
  static constexpr Duration kRepeatInterval = std::chrono::milliseconds(350);
  // A count that was not reported for this time is no longer repeated: its
  // target may have been removed.
  static constexpr Duration kMaxReportAge = std::chrono::seconds(60);
  // Exceeds the number of targets of a failure domain.
  static constexpr std::size_t kMaxTargets = 4096;

  void Merge(const std::vector<TargetSamples>& samples, TimePoint now);
  // Drops sums, but not counts of outstanding requests.
  void ClearSums();
  // Returns samples to send now that occupy at most `max_bytes`, sorted by
  // target, and removes their sums. Targets with many requests come first; each
  // call raises the priority of those left out.
  [[nodiscard]] std::vector<TargetSamples> Take(std::size_t max_bytes,
                                                TimePoint now);

  // Whether there are samples that have not been sent.
  [[nodiscard]] bool has_changes() const noexcept;

 private:
  struct Entry {
    TargetSamples samples;
    // Whether the samples contain anything that has not been sent.
    bool changed = false;
    // Calls of Take() since the entry was last sent.
    std::uint32_t left_out = 0;
    // Remaining repetitions of a count of zero.
    std::uint8_t zero_repeats = 0;
    TimePoint reported;
    TimePoint sent;

    [[nodiscard]] bool IsDue(TimePoint now) const noexcept {
      return changed || now - sent >= kRepeatInterval;
    }
  };

  static std::uint64_t Priority(const Entry& entry) noexcept;
  void EraseFinished(TimePoint now);

  std::map<TargetKey, Entry> entries_;
};

}  // namespace sapphirestream

#endif  // SAPPHIRESTREAM_EDGE_SAMPLE_BACKLOG_H_
