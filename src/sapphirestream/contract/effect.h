// Effect of a change, reported to operators by dry runs and with accepted
// changes.
#ifndef SAPPHIRESTREAM_CONTRACT_EFFECT_H_
#define SAPPHIRESTREAM_CONTRACT_EFFECT_H_

#include <boost/json.hpp>
#include <cstdint>
#include <functional>
#include <span>
#include <vector>

#include "sapphirestream/base/id.h"
#include "sapphirestream/contract/capacity.h"
#include "sapphirestream/contract/configuration.h"

namespace sapphirestream {

struct ChangeEffect {
  // Number of lookup table buckets whose target changes.
  std::uint64_t buckets_moved = 0;
  // Estimated number of open flows that need a record because their bucket
  // moves.
  std::uint64_t flows_recorded = 0;
  // Lowest capacity minus load among the affected services, or among all
  // services if none is affected; negative if the load exceeds the capacity.
  std::int64_t slots_left = 0;
  std::int64_t connections_left = 0;

  bool operator==(const ChangeEffect&) const = default;
};

// Returns the lookup table of a service: the target of each bucket.
using LookupTableFunction =
    std::function<std::vector<TargetId>(const Service&)>;

[[nodiscard]] ChangeEffect ComputeEffect(const Configuration& before,
                                         const Configuration& after,
                                         std::span<const ServiceLoad> loads,
                                         const LookupTableFunction& buckets_of);

[[nodiscard]] boost::json::object ToJson(const ChangeEffect& effect);

}  // namespace sapphirestream

#endif  // SAPPHIRESTREAM_CONTRACT_EFFECT_H_
