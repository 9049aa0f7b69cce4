// Estimates how much load each target takes well, from requests that this
// instance and its peers have observed; docs/design/target-performance.md.
#ifndef SAPPHIRESTREAM_EDGE_PERFORMANCE_TABLE_H_
#define SAPPHIRESTREAM_EDGE_PERFORMANCE_TABLE_H_

#include <cstddef>
#include <cstdint>
#include <unordered_map>
#include <vector>

#include "sapphirestream/base/clock.h"
#include "sapphirestream/edge/own_samples.h"
#include "sapphirestream/edge/peer_reports.h"
#include "sapphirestream/edge/request_observation.h"
#include "sapphirestream/edge/route_baseline.h"
#include "sapphirestream/edge/target_directory.h"
#include "sapphirestream/edge/target_estimate.h"
#include "sapphirestream/edge/target_performance.h"
#include "sapphirestream/edge/target_samples.h"

namespace sapphirestream {

class PerformanceTable final : public RequestObserver,
                               public PerformanceSource,
                               public SampleStore {
 public:
  // Age of an estimate at which new evidence renews it.
  static constexpr Duration kRefreshInterval = std::chrono::milliseconds(100);
  // Targets without evidence for this long are forgotten.
  static constexpr Duration kIdleRetention = std::chrono::seconds(60);
  // Rare requests are compared with those of the last minutes.
  static constexpr Duration kRouteRetention = std::chrono::minutes(10);
  static constexpr std::size_t kMaxRoutes = 4096;
  // Bounds of a target's weight. A trickle has to remain, since only requests
  // show that a target has recovered.
  static constexpr double kMinWeight = 0.02;
  static constexpr double kMaxWeight = 2;
  // Weight below which a target counts as penalised.
  static constexpr double kPenalisedBelow = 0.5;
  // Share of a group's load that failures may take away from its targets before
  // penalties are reduced, and from which on there are none: the others could
  // not take the load, and the cause is unlikely to be the targets.
  static constexpr double kFullPenaltyUpTo = 0.4;
  static constexpr double kNoPenaltyFrom = 0.6;
  // Bounds of a peer's samples of one target in one message. An instance
  // finishes few requests of a target between two messages; larger batches
  // would let a single message dominate the averages.
  static constexpr std::uint32_t kMaxPeerRequests = 4;
  static constexpr std::uint32_t kMaxPeerFailures = 2;
  static constexpr double kMinRelativeTime = 1.0 / 8;
  static constexpr double kMaxRelativeTime = RouteBaseline::kMaxRelativeTime;
  // Bound of a peer's outstanding requests at a target, per slot: one instance
  // rarely has more, and a false count must not make a target look full.
  static constexpr std::uint32_t kMaxPeerOutstandingPerSlot = 1;

  explicit PerformanceTable(TargetDirectory& targets) : targets_(targets) {}

  void OnRequest(const RequestObservation& observation) override;
  [[nodiscard]] TargetEstimate Estimate(const EdgeTarget& target,
                                        TimePoint now) const override;
  [[nodiscard]] std::vector<TargetSamples> TakeSamples(TimePoint now) override;
  // Samples of targets that the directory does not know in that incarnation are
  // ignored.
  void OnPeerSamples(PeerId peer, const std::vector<TargetSamples>& samples,
                     TimePoint now) override;
  void ErasePeer(PeerId peer) override;

  // Renews the estimates if they are older than kRefreshInterval. Every event
  // does so as well; call it once a second if there may be none.
  void Refresh(TimePoint now);
  // Number of targets whose weight was below kPenalisedBelow at the last
  // refresh.
  [[nodiscard]] std::size_t penalised() const noexcept { return penalised_; }
  // Number of targets with evidence.
  [[nodiscard]] std::size_t size() const noexcept { return entries_.size(); }

 private:
  struct Entry {
    Incarnation incarnation{};
    TargetPerformance performance;
    PeerReports peers;
    // When the last request or report arrived.
    TimePoint last_used{};
    // As of the last refresh.
    double relative_time = 1;
    double failure_share = 0;
    double weight = 1;
  };
  // The targets of a service inside, or outside, of this instance's domain.
  // Targets are compared within their group only: the path to other domains
  // takes time that says nothing about a target.
  struct Group {
    std::size_t targets = 0;
    // Sums over the targets.
    double confidence = 0;
    double log_time = 0;
    double allowance = 0;
    double share = 0;

    [[nodiscard]] double MeanLogTime() const;
    // 1 if penalties for failures apply in full, 0 if not at all.
    [[nodiscard]] double PenaltyFactor() const;
    [[nodiscard]] double MeanShare() const;
  };
  struct GroupPair {
    Group local;
    Group remote;
  };

  // Returns the entry for a target that the directory knows in this
  // incarnation, or null.
  Entry* EntryOf(TargetKey key, Incarnation incarnation, TimePoint now);
  void ApplyPeerSamples(PeerId peer, const TargetSamples& samples,
                        TimePoint now);
  void Forget(TimePoint now);
  void SumTimesAndFailures(TimePoint now);
  void SumShares(TimePoint now);
  void SetWeights();
  [[nodiscard]] Group& GroupOf(const EdgeTarget& target);
  // Weight of targets without evidence.
  [[nodiscard]] double NeutralWeight(const EdgeTarget& target) const;
  [[nodiscard]] const Entry* FindEntry(const EdgeTarget& target) const;

  TargetDirectory& targets_;
  // Only targets of `targets_`, apart from those removed since the last
  // refresh.
  std::unordered_map<TargetKey, Entry> entries_;
  std::unordered_map<V4Endpoint, RouteBaseline, V4EndpointHash> routes_;
  std::unordered_map<ServiceNumber, GroupPair> groups_;
  OwnSamples own_;
  TimePoint refreshed_{};
  std::size_t penalised_ = 0;
};

}  // namespace sapphirestream

#endif  // SAPPHIRESTREAM_EDGE_PERFORMANCE_TABLE_H_
