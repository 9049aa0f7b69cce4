// A service: the address that clients connect to and the targets behind it.
#ifndef SAPPHIRESTREAM_CONTRACT_SERVICE_H_
#define SAPPHIRESTREAM_CONTRACT_SERVICE_H_

#include <cstdint>
#include <string>
#include <vector>

#include "sapphirestream/base/endpoint.h"
#include "sapphirestream/base/id.h"
#include "sapphirestream/contract/target.h"

namespace sapphirestream {

enum class FlowKind : std::uint8_t {
  kRequest,  // short-lived; occupies a slot of its target
  kStream,   // long-lived; counts only as a connection
};

struct Service {
  ServiceId id{};
  std::string name;
  // Address and port that clients connect to.
  Endpoint address;
  FlowKind kind = FlowKind::kStream;
  // Whether a request may be executed more than once.
  bool idempotent = true;
  // Sorted by id; at most 20,000.
  std::vector<Target> targets;
  // Version of the configuration that last changed this service.
  ConfigVersion version{};

  bool operator==(const Service&) const = default;
};

}  // namespace sapphirestream

#endif  // SAPPHIRESTREAM_CONTRACT_SERVICE_H_
