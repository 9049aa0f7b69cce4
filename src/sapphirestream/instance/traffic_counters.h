// Counters of one traffic thread. Threads do not share counters, which avoids
// cache-line contention.
#ifndef SAPPHIRESTREAM_INSTANCE_TRAFFIC_COUNTERS_H_
#define SAPPHIRESTREAM_INSTANCE_TRAFFIC_COUNTERS_H_

#include <array>
#include <cstddef>
#include <string>

#include "sapphirestream/base/counter.h"
#include "sapphirestream/base/error.h"

namespace sapphirestream {

class TrafficCounters {
 public:
  // `thread` is the label of the counters.
  TrafficCounters(CounterSet& set, const std::string& thread)
      : received(set.Emplace(Name("packets_received_total", thread))),
        forwarded(set.Emplace(Name("packets_forwarded_total", thread))),
        redirected(set.Emplace(Name("packets_redirected_total", thread))),
        escalated(set.Emplace(Name("packets_escalated_total", thread))),
        answered(set.Emplace(Name("packets_answered_total", thread))),
        send_failures(set.Emplace(Name("packet_send_failures_total", thread))),
        learned(set.Emplace(Name("learned_flows", thread))) {
    for (std::size_t i = 0; i < kErrorKindCount; ++i) {
      const auto kind = static_cast<ErrorKind>(i);
      dropped_[i] = &set.Emplace("packets_dropped_total{reason=\"" +
                                 std::string(AnswerFor(kind).name) +
                                 "\",thread=\"" + thread + "\"}");
    }
  }

  [[nodiscard]] Counter& dropped(ErrorKind reason) const noexcept {
    return *dropped_[static_cast<std::size_t>(reason)];
  }

  Counter& received;
  Counter& forwarded;
  Counter& redirected;
  Counter& escalated;
  Counter& answered;
  Counter& send_failures;
  // Gauge.
  Counter& learned;

 private:
  static std::string Name(const std::string& name, const std::string& thread) {
    return name + "{thread=\"" + thread + "\"}";
  }

  std::array<Counter*, kErrorKindCount> dropped_{};
};

}  // namespace sapphirestream

#endif  // SAPPHIRESTREAM_INSTANCE_TRAFFIC_COUNTERS_H_
