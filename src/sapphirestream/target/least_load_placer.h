// The scheduler's placement: the hash target if it has room, otherwise the
// least loaded target, own failure domain first.
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

// Place() allocates nothing, and examines at most a fixed number of targets of
// a large service. docs/decisions/placement.md gives reasons and figures.
class LeastLoadPlacer final : public Placer {
 public:
  LeastLoadPlacer(const Service& service, const Preset& preset,
                  DomainId own_domain);

  // Takes a changed service or preset; flows already counted stay counted. A
  // target that is new here starts slowly.
  void Update(const Service& service, const Preset& preset);

  [[nodiscard]] Placement Place(const PlacementRequest& request,
                                TimePoint now) override;
  void Adopt(TargetId target, TimePoint now) override;
  void End(TargetId target, TimePoint now) override;
  void Report(const LoadReport& report, TimePoint now) override;
  void SetPeerCounts(InstanceId peer, std::span<const PlacementCount> counts,
                     TimePoint now) override;
  [[nodiscard]] std::vector<PlacementCount> OwnCounts() const override;
  void Progressed(TargetId target, TimePoint now) override;
  void Stalled(TargetId target, TimePoint now) override;

  // Returns the state of a target; kRemoved if it is unknown.
  [[nodiscard]] TargetState StateOf(TargetId target) const noexcept;

 private:
  struct Entry {
    explicit Entry(const Target& target)
        : id(target.id), domain(target.domain) {}

    TargetId id;
    DomainId domain;
    // Slots and connections that the preset lets the target use.
    std::uint32_t slots = 1;
    std::uint32_t connections = 1;
    // Share of the capacity in use during slow start; 1 afterwards.
    double ramp = 1.0;
    // Flows that stalled since the last one that made progress.
    std::uint32_t stalls = 0;
    // When a flow last made progress.
    TimePoint progressed;
    // Start of the slow start or time of the failure.
    TimePoint since;
    TargetLifecycle lifecycle;
    TargetLoad load;
  };
  // The best target of a group and the group's load.
  struct Choice {
    Entry* best = nullptr;
    double score = 0.0;
    double tie = 0.0;
    std::uint64_t rank = 0;
    double load = 0.0;
    double capacity = 0.0;
  };
  // Free slots in another domain.
  struct DomainRoom {
    DomainId domain{};
    double free = 0.0;
  };

  [[nodiscard]] Entry* Find(TargetId target) noexcept;
  [[nodiscard]] const Entry* Find(TargetId target) const noexcept;
  Entry& Emplace(const Target& target, bool is_new);
  void EraseLeft(const Service& service);
  void RebuildGroups();
  // Does what is due: slow starts, retries of failed targets, silent peers.
  void Advance(TimePoint now);
  void AdvanceLifecycle(Entry& entry, TimePoint now);
  void SumPeerCounts(TimePoint now);
  void SumReports();

  [[nodiscard]] double Capacity(const Entry& entry) const noexcept;
  // Estimated open flows.
  [[nodiscard]] double Load(const Entry& entry, TimePoint now) const noexcept;
  [[nodiscard]] bool HasRoom(const Entry& entry, double load,
                             double queued) const noexcept;
  // Free slots that a domain must have before another domain's flow takes one.
  [[nodiscard]] double Reserve(Duration waited) const noexcept;
  void MeasureRoom(std::uint64_t flow_hash, TimePoint now);
  [[nodiscard]] double RoomIn(DomainId domain) const noexcept;

  // `queued` requests may wait at a target beyond its slots.
  [[nodiscard]] Choice ChooseOwn(const PlacementRequest& request, double queued,
                                 TimePoint now);
  [[nodiscard]] Choice ChooseOther(const PlacementRequest& request,
                                   double queued, TimePoint now);
  void Consider(Entry& entry, std::uint64_t flow_hash, TimePoint now,
                double queued, Choice& choice) const;
  [[nodiscard]] bool ShouldSpill(const Choice& own, const Choice& other);
  // Returns the hash target if the flow may go there, otherwise nothing.
  [[nodiscard]] Entry* TakeHashTarget(const PlacementRequest& request,
                                      const Choice& best, TimePoint now);
  // Returns a target whose slots are taken but that may queue a request.
  [[nodiscard]] Entry* Enqueue(const PlacementRequest& request, TimePoint now);
  [[nodiscard]] Entry* Decide(const PlacementRequest& request, TimePoint now);

  FlowKind kind_;
  DomainId own_domain_;
  Preset preset_;
  // Whether every flow of the service is placed by a scheduler.
  bool all_counted_ = false;
  // Sorted by id.
  std::vector<Entry> entries_;
  // Indices of entries that may get new flows.
  std::vector<std::size_t> own_group_;
  std::vector<std::size_t> other_group_;
  // One element per domain of `other_group_`.
  std::vector<DomainRoom> rooms_;
  PeerCounts peers_;
  // When counts of a peer last arrived.
  TimePoint last_counts_;
  // Sums over all reports, weighted by trust; they give the expected number of
  // uncounted flows of a target without a usable report.
  double uncounted_sum_ = 0.0;
  double uncounted_capacity_ = 0.0;
  // Whether an entry is in a state that ends with time.
  bool has_transient_ = false;
  TimePoint next_advance_;
  SpillSwitch spill_;
};

}  // namespace sapphirestream

#endif  // SAPPHIRESTREAM_TARGET_LEAST_LOAD_PLACER_H_
