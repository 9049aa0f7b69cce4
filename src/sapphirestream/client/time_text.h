// Times of day as operators write and read them.
#ifndef SAPPHIRESTREAM_CLIENT_TIME_TEXT_H_
#define SAPPHIRESTREAM_CLIENT_TIME_TEXT_H_

#include <optional>
#include <string>
#include <string_view>

#include "sapphirestream/base/clock.h"

namespace sapphirestream {

// Parses `now`, `+90s`, `+15m`, `+2h`, or UTC such as `2026-12-04T18:00:00Z`;
// empty if it is none of these.
[[nodiscard]] std::optional<WallTime> ParseTime(std::string_view text,
                                                WallTime now);
// Returns UTC such as `2026-12-04T18:00:00Z`.
[[nodiscard]] std::string TimeText(WallTime time);

}  // namespace sapphirestream

#endif  // SAPPHIRESTREAM_CLIENT_TIME_TEXT_H_
