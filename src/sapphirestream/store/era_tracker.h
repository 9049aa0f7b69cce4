// Follows the era of a store that may be restored from a backup.
#ifndef SAPPHIRESTREAM_STORE_ERA_TRACKER_H_
#define SAPPHIRESTREAM_STORE_ERA_TRACKER_H_

#include <cstdint>

#include "sapphirestream/base/store_revision.h"

namespace sapphirestream {

// Era of a reply compared with the latest known one.
enum class EraCheck : std::uint8_t {
  kCurrent,
  kOutdated,  // from before the store was restored
  kRestored,  // the first reply since the store was restored
};

class EraTracker {
 public:
  // Compares the era of a reply with the latest known one and replaces it by a
  // later one. A reply that names no era counts as current, and so does the
  // first reply that names one: nothing is known yet that it could contradict.
  [[nodiscard]] EraCheck Observe(StoreEra offered) noexcept {
    if (offered == kUnknownEra || offered == era_) return EraCheck::kCurrent;
    if (offered < era_) return EraCheck::kOutdated;
    const bool is_first = era_ == kUnknownEra;
    era_ = offered;
    return is_first ? EraCheck::kCurrent : EraCheck::kRestored;
  }
  [[nodiscard]] StoreEra era() const noexcept { return era_; }

 private:
  // Never falls.
  StoreEra era_ = kUnknownEra;
};

}  // namespace sapphirestream

#endif  // SAPPHIRESTREAM_STORE_ERA_TRACKER_H_
