// Rendering of counters in the Prometheus text format.
#include "sapphirestream/admin/metrics.h"

#include <map>
#include <string_view>

namespace sapphirestream {

std::string RenderMetrics(const CounterSet& counters) {
  // The format requires all samples of a metric to be contiguous.
  std::map<std::string, std::string, std::less<>> by_metric;
  for (const auto& [name, value] : counters.Read()) {
    const std::string metric = name.substr(0, name.find('{'));
    by_metric[metric]
        .append("sapphirestream_")
        .append(name)
        .append(" ")
        .append(std::to_string(value))
        .append("\n");
  }
  std::string out;
  for (const auto& [metric, samples] : by_metric) {
    const bool is_counter = metric.ends_with("_total");
    out.append("# TYPE sapphirestream_")
        .append(metric)
        .append(is_counter ? " counter\n" : " gauge\n")
        .append(samples);
  }
  return out;
}

}  // namespace sapphirestream
