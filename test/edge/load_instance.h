// An instance of LoadSimulation: its view of the targets, its placement and its
// observations.
#ifndef SAPPHIRESTREAM_TEST_EDGE_LOAD_INSTANCE_H_
#define SAPPHIRESTREAM_TEST_EDGE_LOAD_INSTANCE_H_

#include <cstdint>
#include <string>
#include <unordered_map>
#include <vector>

#include "sapphirestream/edge/balanced_placement.h"
#include "sapphirestream/edge/request_observation.h"
#include "sapphirestream/edge/route_table.h"
#include "sapphirestream/edge/target_directory.h"
#include "sapphirestream/edge/target_estimate.h"
#include "sapphirestream/edge/target_samples.h"
#include "test/edge/load_simulation.h"

namespace sapphirestream::load {

// Plain estimates: decaying means of the request times, and the last counts of
// the peers.
class SimpleTable final : public PerformanceSource,
                          public RequestObserver,
                          public SampleStore {
 public:
  // Size of an answer of an accepted request; a shorter one is a rejection.
  static constexpr std::uint32_t kAnswerBytes = 2000;

  explicit SimpleTable(TargetDirectory& targets) : targets_(targets) {}

  [[nodiscard]] TargetEstimate Estimate(const EdgeTarget& target,
                                        TimePoint now) const override;
  void OnRequest(const RequestObservation& observation) override;
  [[nodiscard]] std::vector<TargetSamples> TakeSamples(TimePoint now) override;
  void OnPeerSamples(PeerId peer, const std::vector<TargetSamples>& samples,
                     TimePoint now) override;
  void ErasePeer(PeerId peer) override;

 private:
  struct Entry {
    // Decaying sums.
    double count = 0;
    double failures = 0;
    double time = 0;
    // Not taken yet.
    TargetSamples fresh;
    std::uint32_t sent_outstanding = 0;
    std::uint32_t peer_outstanding = 0;
    std::unordered_map<PeerId, std::uint32_t> peers;
  };

  void Add(Entry& entry, const TargetSamples& samples);

  TargetDirectory& targets_;
  std::unordered_map<TargetKey, Entry> entries_;
  // Mean time of accepted requests; decaying.
  double baseline_ms_ = 0;
};

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
  SimpleTable table_{targets_};
  BalancedPlacer balanced_{table_};
};

}  // namespace sapphirestream::load

#endif  // SAPPHIRESTREAM_TEST_EDGE_LOAD_INSTANCE_H_
