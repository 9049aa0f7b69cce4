// Timeouts shared by membership and decision authority. kEchoLifetime <
// kDeadAfter ensures that an instance loses its authority before another one
// takes over.
#ifndef SAPPHIRESTREAM_DOMAIN_TIMING_H_
#define SAPPHIRESTREAM_DOMAIN_TIMING_H_

#include <chrono>
#include <cstddef>

#include "sapphirestream/base/clock.h"

namespace sapphirestream {

// A longer gap between two ticks of the control loop counts as a pause.
inline constexpr Duration kPauseLimit = std::chrono::milliseconds(500);
// How long an echoed heartbeat extends the authority, counted from its sending.
inline constexpr Duration kEchoLifetime = std::chrono::milliseconds(1'500);
// Silence after which a member of the own domain is suspected.
inline constexpr Duration kSuspectAfter = std::chrono::seconds(1);
// The same for another domain, which sends only one heartbeat a second.
inline constexpr Duration kSuspectDomainAfter =
    std::chrono::milliseconds(1'500);
// Silence after which a suspected member is dead.
inline constexpr Duration kDeadAfter = std::chrono::seconds(3);
// Interval at which an instance checks the silence of members and domains.
inline constexpr Duration kCheckInterval = std::chrono::milliseconds(100);
// An instance that has just lost its last neighbour sends heartbeats to the
// dead members for this time before it takes over from them.
inline constexpr Duration kTakeoverProbeTime = std::chrono::seconds(1);
// How long an echo from another domain proves that this instance is not
// isolated. The margin to kDeadAfter exceeds the time for which packet loss may
// have silenced its neighbours before the isolation began.
inline constexpr Duration kExternalContactLifetime = std::chrono::seconds(2);
// Largest domain in which every instance sends heartbeats to every other one.
inline constexpr std::size_t kFullMeshLimit = 16;

}  // namespace sapphirestream

#endif  // SAPPHIRESTREAM_DOMAIN_TIMING_H_
