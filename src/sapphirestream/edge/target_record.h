// Service discovery entry of a target.
#ifndef SAPPHIRESTREAM_EDGE_TARGET_RECORD_H_
#define SAPPHIRESTREAM_EDGE_TARGET_RECORD_H_

#include <cstdint>
#include <string>

#include "sapphirestream/base/clock.h"
#include "sapphirestream/base/id.h"
#include "sapphirestream/edge/fwd.h"
#include "sapphirestream/edge/v4_endpoint.h"

namespace sapphirestream {

struct TargetRecord {
  TargetKey key{};
  // Name of the entry. Several names may have the same key.
  std::string name;
  // Increases when a target restarts under the same key.
  Incarnation incarnation{};
  std::string service;
  V4Endpoint address;
  // Failure domain.
  std::string domain;
  // Number of requests that the target processes concurrently.
  std::uint32_t slots = 1;
  bool draining = false;
  // Remaining time for which the target is slow after its start.
  Duration cold_remaining{};

  bool operator==(const TargetRecord&) const = default;
};

}  // namespace sapphirestream

#endif  // SAPPHIRESTREAM_EDGE_TARGET_RECORD_H_
