#include "sapphirestream/base/latency_histogram.h"

#include <boost/format.hpp>

namespace sapphirestream {

std::string LatencyHistogram::Render(std::string_view name) const {
  constexpr double ms_per_second = 1000.0;
  std::string out =
      (boost::format("# TYPE sapphirestream_%1% histogram\n") % name).str();
  double count = buckets_.at(-1);
  for (unsigned i = 0; i < kBuckets; ++i) {
    count += buckets_.at(static_cast<int>(i));
    out += (boost::format("sapphirestream_%1%_bucket{le=\"%2$.4g\"} %3%\n") %
            name %
            (buckets_.axis().bin(static_cast<int>(i)).upper() / ms_per_second) %
            static_cast<std::uint64_t>(count))
               .str();
  }
  count += buckets_.at(static_cast<int>(kBuckets));
  const auto total = static_cast<std::uint64_t>(count);
  out += (boost::format("sapphirestream_%1%_bucket{le=\"+Inf\"} %2%\n"
                        "sapphirestream_%1%_sum %3%\n"
                        "sapphirestream_%1%_count %2%\n") %
          name % total % (sum_ms_ / ms_per_second))
             .str();
  return out;
}

}  // namespace sapphirestream
