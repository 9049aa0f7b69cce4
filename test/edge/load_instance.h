// An instance of LoadSimulation: its view of the targets, its placement and its
// observations.
#ifndef SAPPHIRESTREAM_TEST_EDGE_LOAD_INSTANCE_H_
#define SAPPHIRESTREAM_TEST_EDGE_LOAD_INSTANCE_H_

#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

#include "sapphirestream/edge/balanced_placement.h"
#include "sapphirestream/edge/performance_table.h"
#include "sapphirestream/edge/route_table.h"
#include "sapphirestream/edge/target_directory.h"
#include "sapphirestream/edge/target_samples.h"
#include "test/edge/load_simulation.h"

namespace sapphirestream::load {

class SimulatedInstance {
 public:
  SimulatedInstance(PeerId id, Policy policy,
                    const std::vector<TargetRecord>& records,
                    const std::string& domain);

  [[nodiscard]] EdgeTarget* Choose(std::uint64_t flow_hash, TimePoint now);
  void OnFinished(TargetKey key, Duration took, bool accepted, TimePoint now);

  [[nodiscard]] PeerId id() const noexcept { return id_; }
  [[nodiscard]] TargetDirectory& targets() noexcept { return targets_; }
  [[nodiscard]] SampleStore& samples() noexcept { return table_; }

 private:
  static constexpr std::size_t kSubsetSize = 4;

  [[nodiscard]] EdgeTarget* PlainHash(std::uint64_t flow_hash) const;

  PeerId id_;
  Policy policy_;
  RouteTable routes_;
  TargetDirectory targets_;
  const std::vector<EdgeTarget*>* all_ = nullptr;
  // For Policy::kSubsets.
  std::vector<EdgeTarget*> subset_;
  PerformanceTable table_{targets_};
  BalancedPlacer balanced_{table_};
};

}  // namespace sapphirestream::load

#endif  // SAPPHIRESTREAM_TEST_EDGE_LOAD_INSTANCE_H_
