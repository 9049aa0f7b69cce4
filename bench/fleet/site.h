// Configurations of example sites: services, targets and presets.
#ifndef SAPPHIRESTREAM_BENCH_FLEET_SITE_H_
#define SAPPHIRESTREAM_BENCH_FLEET_SITE_H_

#include <cstddef>
#include <cstdint>

#include "sapphirestream/contract/configuration.h"

namespace sapphirestream::fleet {

// Long-lived flows on 14 targets, such as a stock board or an open feed.
inline constexpr ServiceId kBoard{1};
// Orders over TCP on 14 targets; not idempotent, each occupies a slot.
inline constexpr ServiceId kOrders{2};
// Uploads on 4 targets.
inline constexpr ServiceId kUploads{3};
// Orders of a single datagram on 14 targets; not idempotent.
inline constexpr ServiceId kDatagramOrders{4};
// Short-lived idempotent flows on 14 targets.
inline constexpr ServiceId kShortFlows{5};

struct SiteOptions {
  std::size_t domains = 4;
  std::size_t large_targets = 14;
  std::size_t small_targets = 4;
  std::uint32_t load_share_permille = 200;
  std::chrono::milliseconds max_wait{10'000};
};

// Returns version 1 of a site, accepted long before the start of the
// simulation.
[[nodiscard]] Configuration MakeSite(const SiteOptions& options);

// These functions return the next version, accepted at `now`.
[[nodiscard]] Configuration AddTarget(const Configuration& configuration,
                                      ServiceId service, DomainId domain,
                                      WallTime now);
// Drains the first target of the service that is not draining yet.
[[nodiscard]] Configuration DrainTarget(const Configuration& configuration,
                                        ServiceId service, WallTime now);
// Changes the load share of the preset in force.
[[nodiscard]] Configuration SwitchPreset(const Configuration& configuration,
                                         std::uint32_t load_share_permille,
                                         WallTime now);

}  // namespace sapphirestream::fleet

#endif  // SAPPHIRESTREAM_BENCH_FLEET_SITE_H_
