#include "sapphirestream/target/target_load.h"

#include <algorithm>
#include <cmath>

namespace sapphirestream {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

// Age at which the weight of a report is halved. Requests end within about a
// second; streams last for hours.
constexpr Duration kRequestHalfLife = seconds(1);
constexpr Duration kStreamHalfLife = seconds(600);
// A shedding target repeats its report at least this often.
constexpr Duration kSheddingLifetime = seconds(5);
// With 32 samples this covers a report delay of 1.6 s.
constexpr Duration kSampleInterval = milliseconds(50);
// Older reports are not used to detect lost ends of flows.
constexpr Duration kMissingLifetime = seconds(3);

// Returns whether the report shows clearly fewer flows than are counted. Counts
// may include flows whose first packet or end is still in transit.
bool Contradicts(FlowKind kind, std::uint32_t reported, std::uint32_t counted) {
  const std::uint32_t tolerance =
      kind == FlowKind::kRequest ? 1 : std::max(2U, counted / 10);
  return reported + tolerance < counted;
}

}  // namespace

void TargetLoad::RecordSample(TimePoint now) {
  const std::size_t newest =
      (next_sample_ + samples_.size() - 1) % samples_.size();
  if (now - samples_[newest].time < kSampleInterval) return;
  samples_[next_sample_] = {now, counted()};
  next_sample_ = (next_sample_ + 1) % samples_.size();
}

std::uint32_t TargetLoad::CountedAt(TimePoint time) const noexcept {
  for (std::size_t i = 0; i < samples_.size(); ++i) {
    const Sample& sample = samples_[(next_sample_ + i) % samples_.size()];
    if (sample.time >= time) return sample.counted;
  }
  return counted();
}

void TargetLoad::AddOwn(TimePoint now) {
  RecordSample(now);
  ++own_;
}

void TargetLoad::RemoveOwn(TimePoint now) {
  RecordSample(now);
  if (own_ > 0) --own_;
}

void TargetLoad::SetPeers(std::uint32_t open, TimePoint now) {
  RecordSample(now);
  peers_ = open;
}

void TargetLoad::Report(const LoadReport& report, FlowKind kind,
                        TimePoint now) {
  const TimePoint taken = std::min(report.taken, now);
  if (has_report_ && taken < report_time_) return;
  has_report_ = true;
  report_time_ = taken;
  shedding_ = report.shedding;
  reported_connections_ = report.open_connections;
  const std::uint32_t reported =
      kind == FlowKind::kRequest ? report.busy_slots : report.open_connections;
  const std::uint32_t counted_then = CountedAt(taken);
  std::shift_right(excess_.begin(), excess_.end(), 1);
  excess_[0] = std::int64_t{reported} - counted_then;
  // Trust decreases faster than it increases.
  trust_ = Contradicts(kind, reported, counted_then)
               ? trust_ / 2
               : std::min(1.0, trust_ + 0.1);
}

std::uint32_t TargetLoad::PersistentlyUncounted() const noexcept {
  const std::int64_t least = *std::min_element(excess_.begin(), excess_.end());
  return static_cast<std::uint32_t>(std::max<std::int64_t>(0, least));
}

std::uint32_t TargetLoad::PersistentlyMissing(TimePoint now) const noexcept {
  if (!has_report_ || now - report_time_ >= kMissingLifetime) return 0;
  const std::int64_t most = *std::max_element(excess_.begin(), excess_.end());
  return static_cast<std::uint32_t>(std::max<std::int64_t>(0, -most));
}

double TargetLoad::ReportWeight(FlowKind kind, TimePoint now) const noexcept {
  if (!has_report_) return 0.0;
  const Duration half_life =
      kind == FlowKind::kRequest ? kRequestHalfLife : kStreamHalfLife;
  return trust_ * std::exp2(-static_cast<double>((now - report_time_).count()) /
                            static_cast<double>(half_life.count()));
}

bool TargetLoad::IsShedding(TimePoint now) const noexcept {
  return shedding_ && now - report_time_ < kSheddingLifetime;
}

}  // namespace sapphirestream
