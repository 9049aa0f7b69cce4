// State of Steering. Internal to module flow; the member functions are spread
// over steering.cc (life cycle and timers), steering_packet.cc (packets) and
// steering_records.cc (messages between owners).
#ifndef SAPPHIRESTREAM_FLOW_STEERING_IMPL_H_
#define SAPPHIRESTREAM_FLOW_STEERING_IMPL_H_

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
  // A packet under decision, with what is known about it.
  struct Event {
    const Packet& packet;
    const ServiceView& view;
    Owners owners;
    bool repeated;
    InstanceId asker;
    InstanceId from;
    std::uint8_t hop_limit;
    TimePoint now;
    // Where a new flow on a reused tuple goes if it can.
    TargetId preferred = kNoTarget;
    // A first packet of a flow that has a record already.
    bool is_copy = false;
  };
  // A first packet that is held until a slot is free, the replica has
  // acknowledged its record, or recovery is over.
  struct Held {
    std::uint64_t token = 0;
    Packet packet;
    InstanceId asker = kNoInstance;
    TimePoint since;
    TimePoint deadline;
  };
  // A request that counts against a slot, and when it was last looked at.
  struct CountedRequest {
    FlowKey key;
    TimePoint seen;
  };
  struct Counters;

  // Notices that this process did not run for a while.
  void NotePause(TimePoint now) noexcept;
  // Whether a target may run a request when it gets this packet as the first.
  [[nodiscard]] static bool MayRun(const Event& event) noexcept;

  // Packets.
  Verdict OnKnown(FlowRecord& record, const Event& event);
  Verdict OnRefused(FlowRecord& record, const Event& event);
  Verdict OnRepeated(FlowRecord& record, const Event& event);
  Verdict OnUnknown(const Event& event);
  [[nodiscard]] DomainSchedulers SchedulersOf(const ServiceView& view,
                                              DomainId domain) const noexcept;
  Verdict OnUnknownAsOwner(const Event& event);
  Verdict OnConsulted(const Event& event);
  Verdict OnFirst(const Event& event);
  Verdict OnUnrecorded(const Event& event);
  [[nodiscard]] bool IsNewlyActive(const Event& event) const noexcept;
  // Returns where an established flow without a record may go, or kNoTarget.
  [[nodiscard]] TargetId TargetWithoutRecord(const Event& event) const noexcept;
  Verdict PlaceFirst(const Event& event);
  Verdict OnPlaced(const Event& event, const Placement& placement);
  Verdict HoldException(FlowRecord& record, const Event& event);
  Verdict Refuse(const Event& event, ErrorKind reason);
  void NoteProgress(const Event& event, TargetId target);
  Verdict ForwardRecorded(FlowRecord& record, const Event& event);
  Verdict Hold(std::deque<Held>& queue, const Event& event, TimePoint deadline);
  Verdict RedirectTo(InstanceId to, const Event& event);
  [[nodiscard]] bool MayReuse(const FlowRecord& record,
                              const Event& event) const noexcept;
  [[nodiscard]] bool TakesNewFlows(const ServiceView& view,
                                   TargetId target) const noexcept;

  // Records.
  FlowRecord* EmplaceRecord(const Packet& packet, RecordState state,
                            TimePoint now);
  bool EvictOne(TimePoint now);
  void EraseRecord(FlowRecord& record, TimePoint now);
  void Close(FlowRecord& record, TimePoint now);
  void StopCounting(FlowRecord& record, TimePoint now);
  void Replicate(FlowRecord& record, const Owners& owners, TimePoint now);
  // Lets requests without a packet for a while no longer take a slot.
  void StopCountingIdle(TimePoint now);
  void Expire(TimePoint now);
  [[nodiscard]] Duration LifetimeOf(const FlowRecord& record) const noexcept;

  // Messages.
  void OnBatch(InstanceId from, const RecordBatch& batch, TimePoint now);
  bool OnCopy(InstanceId from, const RecordCopy& copy, bool handover,
              TimePoint now);
  // Makes a copy the owner's record.
  void Promote(FlowRecord& record, const ServiceView& view, TimePoint now);
  // Whether first packets of the service may be decided: the records are here.
  // For packets that may run a request, none can have been lost either.
  [[nodiscard]] bool IsRecovered(const Packet& packet, const ServiceView& view,
                                 TimePoint now) const noexcept;
  void OnDelivered(const DeliveredBatch& delivered, TimePoint now);
  void OnAcknowledged(FlowRecord& record, const DeliveredBatch& delivered,
                      TimePoint now);
  void OnPull(InstanceId from, const RecordPull& pull, TimePoint now);
  void OnPage(InstanceId from, const RecordPage& page, TimePoint now);
  void Adopt(const RecordCopy& copy, TimePoint now);
  void MoveRecords(TimePoint now);
  bool MoveRecord(FlowRecord& record, TimePoint now);

  // Drops what belongs to an instance that is gone.
  void NoteActivations(const Snapshot& previous, TimePoint now);
  void NoteHealing(const Snapshot& previous, TimePoint now);
  void OnGone(InstanceId id, TimePoint now);

  // Holds.
  void ServeWaiting(TimePoint now);
  void ServeWaiting(const ServiceView& view, std::deque<Held>& queue,
                    TimePoint now);
  void ServeRecovered(TimePoint now);
  // Lets a packet that is held again go by the token that its holder knows.
  void KeepToken(const Held& held, std::uint64_t new_token);
  // Sends a held packet on if another instance owns its flow by now; returns
  // whether it did.
  bool PassOn(const Held& held, const ServiceView& view, TimePoint now);
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
  // First packets waiting for a slot, oldest first.
  std::unordered_map<ServiceId, std::deque<Held>> waiting_;
  // First packets whose record the replica must acknowledge.
  std::unordered_map<std::uint64_t, Held> unacknowledged_;
  // First packets that came while their service was recovering.
  std::deque<Held> recovering_;
  // Oldest first; at most one per record, except for reused tuples.
  std::deque<CountedRequest> counted_requests_;
  std::size_t held_ = 0;
  std::uint64_t next_token_ = 1;
  // Positions of `table_` that MoveRecords has still to look at.
  std::size_t move_position_ = 0;
  std::size_t move_left_ = 0;
  TimePoint last_move_;
  bool is_leaving_ = false;
  // When a service's version in use last changed.
  std::unordered_map<ServiceId, TimePoint> activated_;
  // Last call with a time, and the end of the last pause.
  TimePoint last_run_;
  TimePoint awake_since_;
  // Whether some domain has dead and no eligible instances: it may be cut off.
  bool has_missing_domain_ = false;
  // When such a domain last came back.
  TimePoint last_heal_;
  // When a target last made progress with some flow.
  std::unordered_map<TargetId, TimePoint> progress_;
  LookupLog lookups_;
  TokenBucket reset_budget_;
  std::unique_ptr<Counters, void (*)(Counters*)> counters_;
};

// Counters of Steering by name.
struct Steering::Impl::Counters {
  explicit Counters(CounterSet& set);

  Counter& placed;
  Counter& placed_elsewhere;
  Counter& exceptions;
  Counter& spilled;
  Counter& refused;
  Counter& waited;
  Counter& unannounced_slowdowns;
  Counter& announced_slowdowns;
  Counter& silent_resets;
  Counter& table_full;
  Counter& moved;
  Counter& consulted;
};

}  // namespace sapphirestream

#endif  // SAPPHIRESTREAM_FLOW_STEERING_IMPL_H_
