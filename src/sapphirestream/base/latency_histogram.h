// Histogram of latencies in milliseconds.
#ifndef SAPPHIRESTREAM_BASE_LATENCY_HISTOGRAM_H_
#define SAPPHIRESTREAM_BASE_LATENCY_HISTOGRAM_H_

#include <boost/histogram/axis/regular.hpp>
#include <boost/histogram/histogram.hpp>
#include <boost/histogram/make_histogram.hpp>
#include <string>
#include <string_view>

#include "sapphirestream/base/clock.h"

namespace sapphirestream {

// Logarithmic buckets from 1 ms to 8.192 s, two to each doubling.
class LatencyHistogram {
 public:
  void Add(Duration latency) {
    const auto ms = std::chrono::duration<double, std::milli>(latency).count();
    buckets_(ms);
    sum_ms_ += ms;
  }

  // Returns the buckets in the text form of Prometheus, with cumulative counts
  // and bounds in seconds. `name` carries no labels.
  [[nodiscard]] std::string Render(std::string_view name) const;

 private:
  static constexpr unsigned kBuckets = 26;
  static constexpr double kLowestMs = 1.0;
  static constexpr double kHighestMs = 8192.0;
  using Axis =
      boost::histogram::axis::regular<double,
                                      boost::histogram::axis::transform::log>;

  decltype(boost::histogram::make_histogram(Axis(1, 1.0, 2.0))) buckets_ =
      boost::histogram::make_histogram(Axis(kBuckets, kLowestMs, kHighestMs));
  double sum_ms_ = 0.0;
};

}  // namespace sapphirestream

#endif  // SAPPHIRESTREAM_BASE_LATENCY_HISTOGRAM_H_
