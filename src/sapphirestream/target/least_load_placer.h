// Placement by load: the hash target if it has a free slot, otherwise the least
// loaded target. Targets in the own failure domain are preferred.
#ifndef SAPPHIRESTREAM_TARGET_LEAST_LOAD_PLACER_H_
#define SAPPHIRESTREAM_TARGET_LEAST_LOAD_PLACER_H_

#include <cstddef>
#include <span>
#include <vector>

#include "sapphirestream/contract/preset.h"
#include "sapphirestream/contract/service.h"
#include "sapphirestream/target/peer_counts.h"
#include "sapphirestream/target/placer.h"
#include "sapphirestream/target/spill_switch.h"
#include "sapphirestream/target/target_lifecycle.h"
#include "sapphirestream/target/target_load.h"

namespace sapphirestream {

// Place() does not allocate, and examines at most a fixed number of targets of
// a large service. docs/decisions/placement.md gives reasons and figures.
class LeastLoadPlacer final : public Placer {
 public:
  LeastLoadPlacer(const Service& service, const Preset& preset,
                  DomainId own_domain);

  // Applies a changed service or preset; flows that are already counted stay
  // counted. Targets that are new to the placer go through slow start.
  void Update(const Service& service, const Preset& preset);

  [[nodiscard]] Placement Place(const PlacementRequest& request,
                                TimePoint now) override;
  void Adopt(TargetId target, TimePoint now) override;
  void End(TargetId target, TimePoint now) override;
  void Report(const LoadReport& report, TimePoint now) override;
  void SetPeerCounts(InstanceId peer, std::span<const PlacementCount> counts,
                     TimePoint now) override;
  [[nodiscard]] std::vector<PlacementCount> OwnCounts() const override;
  void OnProgress(TargetId target, TimePoint now) override;
  void OnStall(TargetId target, TimePoint now) override;

  // Returns the state of a target; kRemoved if it is unknown.
  [[nodiscard]] TargetState StateOf(TargetId target) const noexcept;

 private:
  struct Entry {
    explicit Entry(const Target& target)
        : id(target.id), domain(target.domain) {}

    TargetId id;
    DomainId domain;
    // Slots and connections that the preset allows on the target.
    std::uint32_t slots = 1;
    std::uint32_t connections = 1;
    // Usable share of the capacity during slow start; 1 afterwards.
    double ramp = 1.0;
    // Number of stalled flows since a flow last made progress.
    std::uint32_t stalls = 0;
    // When a flow last made progress.
    TimePoint progressed;
    // When slow start began or the target failed.
    TimePoint since;
    TargetLifecycle lifecycle;
    TargetLoad load;
  };
  // The best target of a group and the total load of the group.
  struct Choice {
    Entry* best = nullptr;
    double score = 0.0;
    double tie = 0.0;
    std::uint64_t rank = 0;
    double load = 0.0;
    double capacity = 0.0;
  };
  // Free slots in another domain.
  struct DomainHeadroom {
    DomainId domain{};
    double free = 0.0;
  };

  [[nodiscard]] Entry* Find(TargetId target) noexcept;
  [[nodiscard]] const Entry* Find(TargetId target) const noexcept;
  Entry& Emplace(const Target& target, bool is_new);
  void EraseRemoved(const Service& service);
  void RebuildGroups();
  // Runs due work: slow starts, retries of failed targets, expiry of silent
  // peers.
  void Advance(TimePoint now);
  void AdvanceLifecycle(Entry& entry, TimePoint now);
  void SumPeerCounts(TimePoint now);
  void SumReports();

  [[nodiscard]] double Capacity(const Entry& entry) const noexcept;
  // Returns the estimated number of open flows.
  [[nodiscard]] double Load(const Entry& entry, TimePoint now) const noexcept;
  [[nodiscard]] bool HasCapacity(const Entry& entry, double load,
                                 double queued) const noexcept;
  // Returns the number of free slots that a domain must have before a flow of
  // another domain may take one.
  [[nodiscard]] double Reserve(Duration waited) const noexcept;
  void MeasureHeadroom(std::uint64_t flow_hash, TimePoint now);
  [[nodiscard]] double HeadroomIn(DomainId domain) const noexcept;

  // `queued` is the number of requests that may wait at a target beyond its
  // slots.
  [[nodiscard]] Choice ChooseOwn(const PlacementRequest& request, double queued,
                                 TimePoint now);
  [[nodiscard]] Choice ChooseOther(const PlacementRequest& request,
                                   double queued, TimePoint now);
  void ConsiderTarget(Entry& entry, std::uint64_t flow_hash, TimePoint now,
                      double queued, Choice& choice) const;
  [[nodiscard]] bool ShouldSpill(const Choice& own, const Choice& other);
  // Returns the hash target if the flow may be placed on it, otherwise null.
  [[nodiscard]] Entry* TryHashTarget(const PlacementRequest& request,
                                     const Choice& best, TimePoint now);
  // Returns a target without a free slot that may queue a request, or null.
  [[nodiscard]] Entry* Enqueue(const PlacementRequest& request, TimePoint now);
  [[nodiscard]] Entry* ChooseTarget(const PlacementRequest& request,
                                    TimePoint now);

  FlowKind kind_;
  DomainId own_domain_;
  Preset preset_;
  // Whether all flows of the service are placed by schedulers and so counted.
  bool all_counted_ = false;
  // Sorted by id.
  std::vector<Entry> entries_;
  // Indices of the entries that accept new flows.
  std::vector<std::size_t> own_group_;
  std::vector<std::size_t> other_group_;
  // One element per domain of `other_group_`.
  std::vector<DomainHeadroom> headroom_;
  PeerCounts peers_;
  // When the counts of a peer last arrived.
  TimePoint last_peer_counts_;
  // Sums over all reports, weighted by trust. Their ratio gives the expected
  // number of uncounted flows on a target without a usable report.
  double uncounted_sum_ = 0.0;
  double uncounted_capacity_ = 0.0;
  // Whether an entry is in a state that ends by time.
  bool has_transient_ = false;
  TimePoint next_advance_;
  SpillSwitch spill_;
};

}  // namespace sapphirestream

#endif  // SAPPHIRESTREAM_TARGET_LEAST_LOAD_PLACER_H_
