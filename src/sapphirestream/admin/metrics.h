// Text form of the counters for Prometheus.
#ifndef SAPPHIRESTREAM_ADMIN_METRICS_H_
#define SAPPHIRESTREAM_ADMIN_METRICS_H_

#include <string>

#include "sapphirestream/base/counter.h"

namespace sapphirestream {

// Returns every counter with the prefix `sapphirestream_`, grouped by metric
// with one TYPE line each. Names that end in `_total` are counters, all others
// gauges.
[[nodiscard]] std::string RenderMetrics(const CounterSet& counters);

}  // namespace sapphirestream

#endif  // SAPPHIRESTREAM_ADMIN_METRICS_H_
