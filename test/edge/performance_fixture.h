// A table of target performance with targets that are slow or fail on demand.
#ifndef SAPPHIRESTREAM_TEST_EDGE_PERFORMANCE_FIXTURE_H_
#define SAPPHIRESTREAM_TEST_EDGE_PERFORMANCE_FIXTURE_H_

#include <chrono>
#include <cstdint>

#include "sapphirestream/base/random.h"
#include "sapphirestream/edge/performance_table.h"
#include "test/edge/sample.h"

namespace sapphirestream {

using namespace std::chrono_literals;

inline constexpr std::uint64_t kTargets = 8;
inline constexpr std::uint32_t kNormalBytes = 800;

struct PerformanceFixture {
  PerformanceFixture() {
    for (std::uint64_t key = 1; key <= kTargets; ++key) Add(key);
  }
  void Add(std::uint64_t key, std::uint64_t incarnation = 1) {
    TargetRecord record = sample::Target(key, "a");
    record.incarnation = Incarnation{incarnation};
    targets.Upsert(record, {StoreEra{1}, ++revision}, true, now);
  }
  EdgeTarget& At(std::uint64_t key) { return *targets.Find(TargetKey{key}); }
  TargetEstimate Of(std::uint64_t key) { return table.Estimate(At(key), now); }

  void Answer(std::uint64_t key, Duration took, std::uint32_t answer_bytes) {
    table.OnRequest({.target = TargetKey{key},
                     .incarnation = At(key).record.incarnation,
                     .route = sample::kFeed,
                     .took = took,
                     .answer_bytes = answer_bytes,
                     .at = now});
  }
  void Fail(std::uint64_t key) { Answer(key, 4ms, 200); }
  // Time of a normal answer of a target.
  Duration Usual(std::uint64_t key) {
    return (15ms + std::chrono::milliseconds(random.Next() % 10)) *
           (key <= slow ? 5 : 1) * (all_slow ? 5 : 1);
  }
  // Lets each target answer a request every `interval`.
  void Serve(Duration duration, Duration interval = 100ms) {
    for (const TimePoint end = now + duration; now < end; now += interval) {
      for (std::uint64_t key = 1; key <= kTargets; ++key) {
        if (key <= failing && random.Next() % 10 < 6) {
          Fail(key);
        } else {
          Answer(key, Usual(key),
                 kNormalBytes / 2 + random.Next() % kNormalBytes);
        }
      }
    }
    table.Refresh(now);
  }
  void Wait(Duration duration) {
    now += duration;
    table.Refresh(now);
  }
  TimePoint now{1000s};
  std::uint64_t revision = 0;
  // Targets up to these keys are slow, or fail 60% of their requests.
  std::uint64_t slow = 0;
  std::uint64_t failing = 0;
  bool all_slow = false;
  SeededRandom random{7};
  RouteTable routes = [] {
    RouteTable sample_routes;
    sample_routes.Apply(sample::Routes(1));
    return sample_routes;
  }();
  TargetDirectory targets{routes, "a"};
  PerformanceTable table{targets};
};

}  // namespace sapphirestream

#endif  // SAPPHIRESTREAM_TEST_EDGE_PERFORMANCE_FIXTURE_H_
