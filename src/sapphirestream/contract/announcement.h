// An announcement: notice to the clients of a service that it will be slower
// for a limited time.
#ifndef SAPPHIRESTREAM_CONTRACT_ANNOUNCEMENT_H_
#define SAPPHIRESTREAM_CONTRACT_ANNOUNCEMENT_H_

#include <string>

#include "sapphirestream/base/clock.h"
#include "sapphirestream/base/id.h"

namespace sapphirestream {

struct Announcement {
  std::string name;
  ServiceId service{};
  WallTime from;
  // Exclusive; later than `from`.
  WallTime until;
  std::string text;

  bool operator==(const Announcement&) const = default;
};

}  // namespace sapphirestream

#endif  // SAPPHIRESTREAM_CONTRACT_ANNOUNCEMENT_H_
