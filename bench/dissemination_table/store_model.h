// The platform's store as its watchers see it, in virtual time.
#ifndef SAPPHIRESTREAM_BENCH_DISSEMINATION_TABLE_STORE_MODEL_H_
#define SAPPHIRESTREAM_BENCH_DISSEMINATION_TABLE_STORE_MODEL_H_

#include <cstdint>
#include <map>
#include <string>

#include "sapphirestream/base/random.h"
#include "testing/domain_cluster.h"

namespace sapphirestream::internal {

// Watchers keep one watch on the head open (one call, renewed when it answers
// or after 30 s) and read one shard for each change they see (one call).
class StoreModel {
 public:
  // `everyone` makes every instance a watcher instead of the readers only.
  StoreModel(testing::DomainCluster& cluster, std::uint64_t seed, bool everyone)
      : cluster_(cluster), random_(seed), everyone_(everyone) {}

  // Accepts the next version; returns it.
  std::uint64_t Accept();
  // Starts, answers and renews the watches; call after every tick.
  void OnTick();

  [[nodiscard]] std::uint64_t calls() const noexcept { return calls_; }

 private:
  struct Watch {
    std::uint64_t version = 0;
    TimePoint expires;
    // When the watcher will have read what it was told; unset while it waits.
    TimePoint ready_at;
  };

  testing::DomainCluster& cluster_;
  SeededRandom random_;
  bool everyone_;
  std::uint64_t version_ = 0;
  std::uint64_t calls_ = 0;
  std::map<InstanceId, Watch> watches_;
};

// Returns the body of a version: 10 KB, of which a change touches 300 bytes.
[[nodiscard]] std::string BodyOf(std::uint64_t version);

}  // namespace sapphirestream::internal

#endif  // SAPPHIRESTREAM_BENCH_DISSEMINATION_TABLE_STORE_MODEL_H_
