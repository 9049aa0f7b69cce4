// The effect of a change, shown to operators by a dry run and with the answer.
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
  // Buckets of the lookup tables whose target differs.
  std::uint64_t buckets_moved = 0;
  // Estimate of the open flows that need a record from now on, because their
  // bucket moves.
  std::uint64_t flows_recorded = 0;
  // Least capacity minus load over the affected services, or over all services
  // if none is affected; negative if the load does not fit.
  std::int64_t slots_left = 0;
  std::int64_t connections_left = 0;

  bool operator==(const ChangeEffect&) const = default;
};

// Returns the lookup table of a service: the target of each bucket.
using BucketsOf = std::function<std::vector<TargetId>(const Service&)>;

[[nodiscard]] ChangeEffect EffectOf(const Configuration& before,
                                    const Configuration& after,
                                    std::span<const ServiceLoad> loads,
                                    const BucketsOf& buckets_of);

[[nodiscard]] boost::json::object ToJson(const ChangeEffect& effect);

}  // namespace sapphirestream

#endif  // SAPPHIRESTREAM_CONTRACT_EFFECT_H_
