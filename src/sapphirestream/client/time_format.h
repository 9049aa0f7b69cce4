// Parsing and formatting of times on the command line.
#ifndef SAPPHIRESTREAM_CLIENT_TIME_FORMAT_H_
#define SAPPHIRESTREAM_CLIENT_TIME_FORMAT_H_

#include <optional>
#include <string>
#include <string_view>

#include "sapphirestream/base/clock.h"

namespace sapphirestream {

// Parses `now`, `+90s`, `+15m`, `+2h`, or UTC such as `2026-12-04T18:00:00Z`;
// empty if it is none of these.
[[nodiscard]] std::optional<WallTime> ParseTime(std::string_view text,
                                                WallTime now);
// Returns the time in UTC, such as `2026-12-04T18:00:00Z`.
[[nodiscard]] std::string FormatTime(WallTime time);

}  // namespace sapphirestream

#endif  // SAPPHIRESTREAM_CLIENT_TIME_FORMAT_H_
