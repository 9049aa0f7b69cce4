// Selects the consistency of reads.
#ifndef SAPPHIRESTREAM_STORE_FRESHNESS_POLICY_H_
#define SAPPHIRESTREAM_STORE_FRESHNESS_POLICY_H_

#include <algorithm>

#include "sapphirestream/base/clock.h"
#include "sapphirestream/store/collection.h"
#include "sapphirestream/store/collection_reader_options.h"
#include "sapphirestream/store/era_tracker.h"

namespace sapphirestream {

// Prefers one consistency, and reads from the store itself for a while after a
// reply of another era: its cache may still hold the state of the lost one.
class FreshnessPolicy {
 public:
  explicit FreshnessPolicy(const CollectionReaderOptions& options)
      : preferred_(options.freshness),
        outdated_period_(options.cache_bypass_period),
        restored_period_(options.restored_bypass_period) {}

  // A reply was of this era, compared with the latest known one.
  void OnEra(EraCheck check, TimePoint now) {
    if (check == EraCheck::kCurrent) return;
    const Duration period =
        check == EraCheck::kOutdated ? outdated_period_ : restored_period_;
    bypass_until_ = std::max(bypass_until_, now + period);
  }
  [[nodiscard]] bool BypassesCache(TimePoint now) const noexcept {
    return now < bypass_until_;
  }
  // Returns the consistency of a read that prefers `freshness`.
  [[nodiscard]] Freshness Select(Freshness freshness,
                                 TimePoint now) const noexcept {
    return BypassesCache(now) ? Freshness::kCurrent : freshness;
  }
  [[nodiscard]] Freshness Select(TimePoint now) const noexcept {
    return Select(preferred_, now);
  }

 private:
  Freshness preferred_;
  Duration outdated_period_;
  Duration restored_period_;
  TimePoint bypass_until_{};
};

}  // namespace sapphirestream

#endif  // SAPPHIRESTREAM_STORE_FRESHNESS_POLICY_H_
