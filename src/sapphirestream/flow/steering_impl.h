// Implementation of Steering, internal to module flow. The member functions are
// defined in steering.cc (life cycle, timers and record bookkeeping),
// steering_packet.cc (packets) and steering_records.cc (messages between
// owners, moves of records and held packets).
#ifndef SAPPHIRESTREAM_FLOW_STEERING_IMPL_H_
#define SAPPHIRESTREAM_FLOW_STEERING_IMPL_H_

#include <array>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <memory>
#include <unordered_map>
#include <vector>

#include "sapphirestream/flow/ack_collector.h"
#include "sapphirestream/flow/count_exchange.h"
#include "sapphirestream/flow/flow_table.h"
#include "sapphirestream/flow/lookup_log.h"
#include "sapphirestream/flow/ownership.h"
#include "sapphirestream/flow/recovery.h"
#include "sapphirestream/flow/replicator.h"
#include "sapphirestream/flow/steering.h"
#include "sapphirestream/flow/token_bucket.h"

namespace sapphirestream {

class Steering::Impl {
 public:
  Impl(const Options& options, PlacerFactory& placers, SteeringSink& sink,
       CounterSet& counters);

  void SetSnapshot(std::shared_ptr<const Snapshot> snapshot, TimePoint now);
  Verdict Decide(const Packet& packet, bool repeated, InstanceId asker,
                 InstanceId from, std::uint8_t hop_limit, TimePoint now);
  void OnMessage(InstanceId from, const FlowMessage& message, TimePoint now);
  void OnLocalEnd(const FlowKey& key, TimePoint now);
  void OnReport(const LoadReport& report, TimePoint now);
  void OnTimer(TimePoint now);
  void BeginLeave() { is_leaving_ = true; }
  [[nodiscard]] bool handed_over() const noexcept;
  [[nodiscard]] Stats stats() const noexcept;

 private:
  // A packet being decided and the state that the decision depends on.
  struct PacketContext {
    const Packet& packet;
    const ServiceView& view;
    Owners owners;
    bool repeated;
    InstanceId asker;
    InstanceId from;
    std::uint8_t hop_limit;
    TimePoint now;
    // Preferred target of a new flow on a reused tuple, or kNoTarget.
    TargetId preferred = kNoTarget;
    // Whether the packet opens a flow that already has a record.
    bool is_duplicate = false;
  };
  // A first packet that is held until a slot is free, the replica has
  // acknowledged its record, or recovery has ended.
  struct HeldPacket {
    std::uint64_t token = 0;
    Packet packet;
    InstanceId asker = kNoInstance;
    TimePoint since;
    TimePoint deadline;
  };
  // A request that occupies a slot of its target, and when it was last checked.
  struct CountedRequest {
    FlowKey key;
    TimePoint seen;
  };
  struct Counters;

  // Detects that the process did not run for longer than kMaxTimerGap.
  void DetectPause(TimePoint now) noexcept;
  // Returns whether a target may run a request when this is the first packet
  // that it receives.
  [[nodiscard]] static bool MayRunRequest(const PacketContext& ctx) noexcept;

  // Packets.
  Verdict OnKnown(FlowRecord& record, const PacketContext& ctx);
  Verdict OnRefused(FlowRecord& record, const PacketContext& ctx);
  Verdict OnRetransmission(FlowRecord& record, const PacketContext& ctx);
  Verdict OnUnknown(const PacketContext& ctx);
  [[nodiscard]] DomainSchedulers SchedulersOf(const ServiceView& view,
                                              DomainId domain) const noexcept;
  Verdict OnUnknownAsOwner(const PacketContext& ctx);
  Verdict OnReplicaLookup(const PacketContext& ctx);
  // Returns the instances that may have the record of an established flow, in
  // the order in which they are asked; entries may be kNoInstance. These are
  // the owner by the previous view, or the instance next in rank if this one
  // has just joined; the replica; and the owners once the joining instances
  // have joined, since an instance considers itself alive before the others do
  // and may have decided about the flow already.
  [[nodiscard]] std::array<InstanceId, 4> RecordHolders(
      const PacketContext& ctx) const noexcept;
  // Returns whether another instance can be asked for the record of the flow.
  // One that redirected the packet directly from the fabric has not searched
  // its own records yet, so it may be asked too.
  [[nodiscard]] bool MayAsk(InstanceId other,
                            const PacketContext& ctx) const noexcept;
  // Returns the owners of an established flow in the view in which all joining
  // instances are alive; none if no instance is joining or the flow needs no
  // record.
  [[nodiscard]] Owners OwnersAfterJoining(
      const PacketContext& ctx) const noexcept;
  Verdict OnFirstPacket(const PacketContext& ctx);
  Verdict OnUnrecorded(const PacketContext& ctx);
  [[nodiscard]] bool IsNewlyActive(const PacketContext& ctx) const noexcept;
  // Returns the target of an established flow without a record, or kNoTarget if
  // it is uncertain.
  [[nodiscard]] TargetId TargetWithoutRecord(
      const PacketContext& ctx) const noexcept;
  Verdict PlaceFirstPacket(const PacketContext& ctx);
  Verdict OnPlaced(const PacketContext& ctx, const Placement& placement);
  Verdict HoldForReplica(FlowRecord& record, const PacketContext& ctx);
  Verdict Refuse(const PacketContext& ctx, ErrorKind reason);
  void ReportProgress(const PacketContext& ctx, TargetId target);
  Verdict ForwardRecorded(FlowRecord& record, const PacketContext& ctx);
  Verdict Hold(std::deque<HeldPacket>& queue, const PacketContext& ctx,
               TimePoint deadline);
  Verdict RedirectTo(InstanceId to, const PacketContext& ctx);
  [[nodiscard]] bool MayReuse(const FlowRecord& record,
                              const PacketContext& ctx) const noexcept;
  [[nodiscard]] bool AcceptsNewFlows(const ServiceView& view,
                                     TargetId target) const noexcept;

  // Records.
  FlowRecord* EmplaceRecord(const Packet& packet, RecordState state,
                            TimePoint now);
  bool EvictOne(TimePoint now);
  void EraseRecord(FlowRecord& record, TimePoint now);
  void Close(FlowRecord& record, TimePoint now);
  void StopCounting(FlowRecord& record, TimePoint now);
  void Replicate(FlowRecord& record, const Owners& owners, TimePoint now);
  // Frees the slots of requests without a packet for kRequestCountTimeout.
  void StopCountingIdle(TimePoint now);
  void Expire(TimePoint now);
  [[nodiscard]] Duration LifetimeOf(const FlowRecord& record) const noexcept;

  // Messages.
  void OnBatch(InstanceId from, const RecordBatch& batch, TimePoint now);
  bool OnCopy(InstanceId from, const RecordCopy& copy, bool handover,
              TimePoint now);
  // Makes this instance the owner of a replicated record.
  void Promote(FlowRecord& record, const ServiceView& view, TimePoint now);
  // Returns whether first packets of the service may be decided, that is, its
  // records have been pulled. For packets that may run a request, no record may
  // have been lost either.
  [[nodiscard]] bool IsRecovered(const Packet& packet, const ServiceView& view,
                                 TimePoint now) const noexcept;
  void OnBatchResult(const BatchResult& result, TimePoint now);
  void OnAcknowledged(FlowRecord& record, const BatchResult& result,
                      TimePoint now);
  void OnPull(InstanceId from, const RecordPull& pull, TimePoint now);
  void OnPage(InstanceId from, const RecordPage& page, TimePoint now);
  void Adopt(const RecordCopy& copy, TimePoint now);
  void MoveRecords(TimePoint now);
  bool MoveRecord(FlowRecord& record, TimePoint now);

  // Member changes.
  void TrackActivations(const Snapshot& previous, TimePoint now);
  void DetectHealedDomains(const Snapshot& previous, TimePoint now);
  void OnInstanceRemoved(InstanceId id, TimePoint now);

  // Holds.
  void ProcessWaiting(TimePoint now);
  void ProcessWaiting(const ServiceView& view, std::deque<HeldPacket>& queue,
                      TimePoint now);
  void ProcessRecovered(TimePoint now);
  // Gives a packet that is held again its original token, under which the
  // caller keeps its bytes.
  void RestoreToken(const HeldPacket& held, std::uint64_t new_token);
  // Redirects a held packet if another instance owns its flow by now; returns
  // whether it did.
  bool RedirectIfMoved(const HeldPacket& held, const ServiceView& view,
                       TimePoint now);
  void ExpireHeld(TimePoint now);

  [[nodiscard]] const ServiceView* ViewOf(ServiceId service) const noexcept;
  [[nodiscard]] bool IsAlive(InstanceId id) const noexcept;
  [[nodiscard]] Placer& PlacerOf(const ServiceView& view);
  void CountSlowdown(const ServiceView& view);

  Options options_;
  PlacerFactory& placers_;
  SteeringSink& sink_;
  std::shared_ptr<const Snapshot> snapshot_;
  FlowTable table_;
  Replicator replicator_;
  AckCollector acks_;
  Recovery recovery_;
  CountExchange counts_;
  std::unordered_map<ServiceId, std::unique_ptr<Placer>> service_placers_;
  // First packets that wait for a slot, oldest first.
  std::unordered_map<ServiceId, std::deque<HeldPacket>> waiting_;
  // First packets whose record the replica has not acknowledged yet, by the
  // sequence number of the batch.
  std::unordered_map<std::uint64_t, HeldPacket> unacknowledged_;
  // First packets that arrived while their service was recovering.
  std::deque<HeldPacket> recovering_;
  // Oldest first; at most one per record, except for reused tuples.
  std::deque<CountedRequest> counted_requests_;
  std::size_t held_ = 0;
  std::uint64_t next_token_ = 1;
  // Next position of `table_` for MoveRecords, and the number of positions that
  // it has not visited yet.
  std::size_t move_position_ = 0;
  std::size_t move_left_ = 0;
  TimePoint last_move_;
  bool is_leaving_ = false;
  // When the active version of a service last changed.
  std::unordered_map<ServiceId, TimePoint> activated_;
  // When the last packet or timer call came, and when the last pause ended.
  TimePoint last_call_;
  TimePoint resumed_at_;
  // Whether a domain has dead but no eligible instances, so that it may be
  // partitioned off.
  bool has_missing_domain_ = false;
  // When such a domain last became reachable again.
  TimePoint last_heal_;
  // When a target last made progress with any flow.
  std::unordered_map<TargetId, TimePoint> progress_;
  LookupLog lookups_;
  TokenBucket reset_budget_;
  std::unique_ptr<Counters, void (*)(Counters*)> counters_;
};

// Counters of Steering, by field.
struct Steering::Impl::Counters {
  explicit Counters(CounterSet& set);

  Counter& placed;
  Counter& placed_off_hash;
  Counter& awaiting_replica;
  Counter& spilled;
  Counter& refused;
  Counter& waited;
  Counter& unannounced_slowdowns;
  Counter& announced_slowdowns;
  Counter& silent_resets;
  Counter& table_full;
  Counter& moved;
  Counter& replica_lookups;
};

}  // namespace sapphirestream

#endif  // SAPPHIRESTREAM_FLOW_STEERING_IMPL_H_
