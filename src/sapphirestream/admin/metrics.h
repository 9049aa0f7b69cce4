// Rendering of counters in the Prometheus text format.
#ifndef SAPPHIRESTREAM_ADMIN_METRICS_H_
#define SAPPHIRESTREAM_ADMIN_METRICS_H_

#include <string>

#include "sapphirestream/base/counter.h"

namespace sapphirestream {

// Returns all counters with the prefix `sapphirestream_`, grouped by metric,
// with one TYPE line per metric. Names that end in `_total` are counters, all
// others are gauges.
[[nodiscard]] std::string RenderMetrics(const CounterSet& counters);

}  // namespace sapphirestream

#endif  // SAPPHIRESTREAM_ADMIN_METRICS_H_
