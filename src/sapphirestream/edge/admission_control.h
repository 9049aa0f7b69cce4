// Interface of the decision whether a new flow is admitted.
#ifndef SAPPHIRESTREAM_EDGE_ADMISSION_CONTROL_H_
#define SAPPHIRESTREAM_EDGE_ADMISSION_CONTROL_H_

#include <cstdint>
#include <vector>

#include "sapphirestream/base/clock.h"
#include "sapphirestream/edge/fwd.h"
#include "sapphirestream/edge/route_table.h"
#include "sapphirestream/edge/target_directory.h"

namespace sapphirestream {

enum class AdmissionVerdict : std::uint8_t {
  kAdmit,
  // The request cannot be served in time; the client is told so at once.
  kRefuse,
};

struct AdmissionQuery {
  V4Endpoint client;
  // Virtual address of the route.
  V4Endpoint route;
  ServiceNumber service{};
  RouteObjective objective;
  // Number of copies of the opening packet that the client sent before.
  std::uint32_t opening_copies = 0;
  std::uint64_t flow_hash = 0;
  TimePoint now;
};

class AdmissionControl {
 public:
  virtual ~AdmissionControl() = default;
  // `targets` are those of the query's service. Must return kAdmit for a copy
  // of an opening packet: an earlier copy may have reached a target, so that a
  // refusal could be false.
  [[nodiscard]] virtual AdmissionVerdict Admit(
      const std::vector<EdgeTarget*>& targets, const AdmissionQuery& query) = 0;
  // Returns the verdict on the query according to the last call of Admit,
  // without any effect on later decisions.
  [[nodiscard]] virtual AdmissionVerdict Preview(
      const AdmissionQuery& /*query*/) const {
    return AdmissionVerdict::kAdmit;
  }
};

}  // namespace sapphirestream

#endif  // SAPPHIRESTREAM_EDGE_ADMISSION_CONTROL_H_
