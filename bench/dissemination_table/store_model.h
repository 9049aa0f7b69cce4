// Model of the platform's store as seen by its watchers, in virtual time.
#ifndef SAPPHIRESTREAM_BENCH_DISSEMINATION_TABLE_STORE_MODEL_H_
#define SAPPHIRESTREAM_BENCH_DISSEMINATION_TABLE_STORE_MODEL_H_

#include <cstdint>
#include <map>
#include <string>

#include "sapphirestream/base/random.h"
#include "testing/domain_cluster.h"

namespace sapphirestream::internal {

// Each watcher keeps one watch on the head object open (one call, renewed when
// it answers or after 30 s) and reads one shard for each change (one call).
class StoreModel {
 public:
  // With `all_watch`, all instances watch the store instead of only the
  // readers.
  StoreModel(testing::DomainCluster& cluster, std::uint64_t seed,
             bool all_watch)
      : cluster_(cluster), random_(seed), all_watch_(all_watch) {}

  // Accepts the next version and returns it.
  std::uint64_t Accept();
  // Starts, answers and renews the watches; call after every tick.
  void OnTick();

  [[nodiscard]] std::uint64_t calls() const noexcept { return calls_; }

 private:
  struct Watch {
    std::uint64_t version = 0;
    TimePoint expires;
    // When the watcher finishes reading a reported change; unset while the
    // watch is pending.
    TimePoint ready_at;
  };

  testing::DomainCluster& cluster_;
  SeededRandom random_;
  bool all_watch_;
  std::uint64_t version_ = 0;
  std::uint64_t calls_ = 0;
  std::map<InstanceId, Watch> watches_;
};

// Returns the body of a version: 10 KB, of which a change touches 300 bytes.
[[nodiscard]] std::string BodyOf(std::uint64_t version);

}  // namespace sapphirestream::internal

#endif  // SAPPHIRESTREAM_BENCH_DISSEMINATION_TABLE_STORE_MODEL_H_
