// The scheduler's placement: the hash target if it has room, otherwise the
// least loaded target, own failure domain first.
#ifndef SAPPHIRESTREAM_TARGET_LEAST_LOAD_PLACER_H_
#define SAPPHIRESTREAM_TARGET_LEAST_LOAD_PLACER_H_

#include <cstddef>
#include <span>
#include <vector>

#include "sapphirestream/contract/preset.h"
#include "sapphirestream/contract/service.h"
#include "sapphirestream/target/placer.h"
#include "sapphirestream/target/spill_switch.h"
#include "sapphirestream/target/target_lifecycle.h"
#include "sapphirestream/target/target_load.h"

namespace sapphirestream {

// Place() allocates nothing, and examines at most a fixed number of targets of
// a large service.
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
    explicit Entry(const Target& target, FlowKind kind)
        : id(target.id), domain(target.domain), load(kind) {}

    TargetId id;
    DomainId domain;
    // Slots and connections that the preset lets the target use.
    std::uint32_t slots = 1;
    std::uint32_t connections = 1;
    // Share of the capacity in use during slow start; 1 afterwards.
    double ramp = 1.0;
    // Stalled flows since the last one that made progress.
    std::uint32_t stalls = 0;
    // Start of the slow start or time of the failure.
    TimePoint since;
    TargetLifecycle lifecycle;
    TargetLoad load;
  };
  struct Peer {
    InstanceId id = kNoInstance;
    TimePoint heard;
    // Sorted by target.
    std::vector<PlacementCount> counts;
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

  [[nodiscard]] Entry* Find(TargetId target) noexcept;
  [[nodiscard]] const Entry* Find(TargetId target) const noexcept;
  void SetLimits(Entry& entry, const Target& target) const;
  void AddEntry(const Target& target, bool is_new);
  void RemoveLeft(const Service& service);
  void RebuildCandidates();
  // Does what is due: slow starts, retries of failed targets, peers that went
  // silent.
  void Advance(TimePoint now);
  void AdvanceLifecycle(Entry& entry, TimePoint now);
  void ExpirePeers(TimePoint now);
  void SumPeerCounts(TimePoint now);
  void SumReports();

  [[nodiscard]] double Capacity(const Entry& entry) const noexcept;
  // Estimated open flows.
  [[nodiscard]] double Load(const Entry& entry, TimePoint now) const noexcept;
  [[nodiscard]] bool HasRoom(const Entry& entry, double load) const noexcept;
  [[nodiscard]] Choice Choose(std::span<const std::size_t> group,
                              std::uint64_t flow_hash, TimePoint now);
  void Consider(Entry& entry, std::uint64_t flow_hash, TimePoint now,
                Choice& choice) const;
  [[nodiscard]] Entry* Decide(const PlacementRequest& request, TimePoint now);
  [[nodiscard]] bool ShouldSpill(const Choice& own, const Choice& other);
  [[nodiscard]] Entry* TakeHashTarget(const PlacementRequest& request,
                                      const Choice& best, bool spilling,
                                      TimePoint now);

  FlowKind kind_;
  DomainId own_domain_;
  Preset preset_;
  // Whether every flow of the service is placed by a scheduler.
  bool all_counted_ = false;
  // Sorted by id.
  std::vector<Entry> entries_;
  // Indices of entries that accept new flows.
  std::vector<std::size_t> own_group_;
  std::vector<std::size_t> other_group_;
  // Sorted by id.
  std::vector<Peer> peers_;
  // A peer went silent with flows open, so counts may be incomplete.
  bool peer_lost_ = false;
  // Sums over all reports, weighted by trust; give the expected number of
  // uncounted flows of a target without a usable report.
  double uncounted_sum_ = 0.0;
  double uncounted_capacity_ = 0.0;
  // Entries in a state that ends with time.
  bool has_transient_ = false;
  SpillSwitch spill_;
};

}  // namespace sapphirestream

#endif  // SAPPHIRESTREAM_TARGET_LEAST_LOAD_PLACER_H_
