#include "sapphirestream/edge/sample_backlog.h"

#include <algorithm>
#include <limits>

#include "sapphirestream/edge/peer_message.h"

namespace sapphirestream {
namespace {

void ClearSumsOf(TargetSamples& samples) {
  samples.count = 0;
  samples.failures = 0;
  samples.relative_time_permille = 0;
}

}  // namespace

void SampleBacklog::Merge(const std::vector<TargetSamples>& samples,
                          TimePoint now) {
  for (const TargetSamples& added : samples) {
    if (entries_.size() >= kMaxTargets && !entries_.contains(added.target)) {
      continue;
    }
    Entry& entry = entries_[added.target];
    if (entry.samples.incarnation != added.incarnation) {
      entry.samples = added;
    } else {
      entry.samples.target = added.target;
      entry.samples.count += added.count;
      entry.samples.failures += added.failures;
      entry.samples.relative_time_permille += added.relative_time_permille;
      entry.samples.outstanding = added.outstanding;
    }
    entry.changed = true;
    entry.zero_repeats = kZeroRepeats;
    entry.reported = now;
  }
}

void SampleBacklog::ClearSums() {
  for (auto& [key, entry] : entries_) ClearSumsOf(entry.samples);
}

std::vector<TargetSamples> SampleBacklog::Take(std::size_t max_bytes,
                                               TimePoint now) {
  std::vector<Entry*> order;
  order.reserve(entries_.size());
  Incarnation lowest{std::numeric_limits<std::uint64_t>::max()};
  for (auto& [key, entry] : entries_) {
    if (!entry.IsDue(now)) continue;
    order.push_back(&entry);
    lowest = std::min(lowest, entry.samples.incarnation);
  }
  std::stable_sort(order.begin(), order.end(),
                   [](const Entry* a, const Entry* b) {
                     if (a->changed != b->changed) return a->changed;
                     return Priority(*a) > Priority(*b);
                   });
  // The number of entries is encoded in one byte.
  constexpr std::size_t max_entries = 255;
  std::vector<TargetSamples> taken;
  for (Entry* const entry : order) {
    const std::size_t size = EncodedSizeLimit(entry->samples, lowest);
    if (size > max_bytes || taken.size() == max_entries) {
      ++entry->left_out;
      continue;
    }
    max_bytes -= size;
    taken.push_back(entry->samples);
    ClearSumsOf(entry->samples);
    if (!entry->changed && entry->zero_repeats > 0) --entry->zero_repeats;
    entry->changed = false;
    entry->left_out = 0;
    entry->sent = now;
  }
  EraseFinished(now);
  std::sort(taken.begin(), taken.end(),
            [](const TargetSamples& a, const TargetSamples& b) {
              return a.target < b.target;
            });
  return taken;
}

bool SampleBacklog::has_changes() const noexcept {
  return std::any_of(entries_.begin(), entries_.end(),
                     [](const auto& item) { return item.second.changed; });
}

std::uint64_t SampleBacklog::Priority(const Entry& entry) noexcept {
  const TargetSamples& samples = entry.samples;
  return std::uint64_t{samples.count} + samples.failures + samples.outstanding +
         entry.left_out;
}

void SampleBacklog::EraseFinished(TimePoint now) {
  std::erase_if(entries_, [now](const auto& item) {
    const Entry& entry = item.second;
    if (entry.changed) return false;
    if (entry.samples.outstanding == 0) return entry.zero_repeats == 0;
    return now - entry.reported >= kMaxReportAge;
  });
}

}  // namespace sapphirestream
