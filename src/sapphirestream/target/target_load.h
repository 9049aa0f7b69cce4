// Load of one target as known to a scheduler.
#ifndef SAPPHIRESTREAM_TARGET_TARGET_LOAD_H_
#define SAPPHIRESTREAM_TARGET_TARGET_LOAD_H_

#include <array>
#include <cstddef>
#include <cstdint>

#include "sapphirestream/base/clock.h"
#include "sapphirestream/contract/service.h"
#include "sapphirestream/target/placer.h"

namespace sapphirestream {

// Combines exact counts (the scheduler's own flows and those of its peers) with
// the reports of the target. A report shows how many flows the schedulers do
// not count, such as those placed by hash: the reported number minus the number
// counted at the time of the report.
class TargetLoad {
 public:
  void AddOwn(TimePoint now);
  // Does nothing if no own flow is open.
  void RemoveOwn(TimePoint now);
  void SetPeers(std::uint32_t open, TimePoint now);
  // Ignores reports older than the last one.
  void Report(const LoadReport& report, FlowKind kind, TimePoint now);

  [[nodiscard]] std::uint32_t own() const noexcept { return own_; }
  [[nodiscard]] std::uint32_t peers() const noexcept { return peers_; }
  [[nodiscard]] std::uint32_t counted() const noexcept { return own_ + peers_; }
  // Number of flows in the last report in excess of the counted ones.
  [[nodiscard]] std::uint32_t uncounted() const noexcept {
    return excess_[0] > 0 ? static_cast<std::uint32_t>(excess_[0]) : 0;
  }
  // Number of flows that each of the last three reports shows in excess of the
  // counted ones; unaffected by flows that began or ended around the time of a
  // report.
  [[nodiscard]] std::uint32_t PersistentlyUncounted() const noexcept;
  // Number of counted flows that are missing from each of the last three
  // reports: their ends were lost, unless the reports are wrong. Zero if the
  // last report is too old.
  [[nodiscard]] std::uint32_t PersistentlyMissing(TimePoint now) const noexcept;
  [[nodiscard]] std::uint32_t reported_connections() const noexcept {
    return reported_connections_;
  }
  // Degree to which reports agree with the counts, from 0 to 1.
  [[nodiscard]] double trust() const noexcept { return trust_; }
  [[nodiscard]] bool has_report() const noexcept { return has_report_; }
  // Weight of the last report: trust discounted by age; 0 without a report.
  [[nodiscard]] double ReportWeight(FlowKind kind,
                                    TimePoint now) const noexcept;
  // Whether the target has recently asked for no new flows.
  [[nodiscard]] bool IsShedding(TimePoint now) const noexcept;

 private:
  struct Sample {
    TimePoint time;
    std::uint32_t counted = 0;
  };

  // Must be called before the counted number changes.
  void RecordSample(TimePoint now);
  [[nodiscard]] std::uint32_t CountedAt(TimePoint time) const noexcept;

  bool has_report_ = false;
  bool shedding_ = false;
  std::uint32_t own_ = 0;
  std::uint32_t peers_ = 0;
  // Reported minus counted flows, newest report first.
  std::array<std::int64_t, 3> excess_{};
  std::uint32_t reported_connections_ = 0;
  double trust_ = 1.0;
  TimePoint report_time_;
  // Ring buffer of past counts; each count was valid until its time.
  std::array<Sample, 32> samples_{};
  std::size_t next_sample_ = 0;
};

}  // namespace sapphirestream

#endif  // SAPPHIRESTREAM_TARGET_TARGET_LOAD_H_
