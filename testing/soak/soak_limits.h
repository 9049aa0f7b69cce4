// Routes of the soak test, and the time limits that it verifies.
#ifndef SAPPHIRESTREAM_TESTING_SOAK_SOAK_LIMITS_H_
#define SAPPHIRESTREAM_TESTING_SOAK_SOAK_LIMITS_H_

#include <chrono>

#include "sapphirestream/edge/route_table.h"

namespace sapphirestream::soak {

// Permanent routes. Requests of kFeed are idempotent.
inline constexpr V4Endpoint kFeed{0xc6120001, 8443};
inline constexpr V4Endpoint kOrders{0xc6120001, 8080};
inline constexpr V4Endpoint kPhotos{0xc6120002, 8443};
// Temporary routes have the addresses after this one.
inline constexpr V4Endpoint kExtraRoutes{0xc6130000, 80};
// Routes of large configurations that nobody uses.
inline constexpr V4Endpoint kUnusedRoutes{0xcb000000, 80};

// Time after which an evacuated domain must get no new flows; in the settings
// of the instances.
inline constexpr std::chrono::milliseconds kEvacuationBound{3000};
// Configuration of the service that limits the flows of cold targets.
inline constexpr std::chrono::seconds kColdStart{3};
inline constexpr unsigned kColdFlowsPerS = 2;
// An accepted configuration change must be applied within this time.
inline constexpr std::chrono::seconds kConfigLimit{3};
// A target that drains, or whose entry was removed, must get no new flows after
// this time.
inline constexpr std::chrono::seconds kDrainLimit{3};
// The limits hold at an instance that was undisturbed for this time.
inline constexpr std::chrono::seconds kStableWindow{4};

}  // namespace sapphirestream::soak

#endif  // SAPPHIRESTREAM_TESTING_SOAK_SOAK_LIMITS_H_
