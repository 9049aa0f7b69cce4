// Life cycle, timers and bookkeeping of records.
#include "sapphirestream/flow/steering.h"

#include <algorithm>
#include <utility>

#include "sapphirestream/flow/fast_path.h"
#include "sapphirestream/flow/steering_impl.h"

namespace sapphirestream {
namespace {

// Closed and refused flows are kept for as long as retransmissions of their
// first packet may arrive.
constexpr Duration kClosedLifetime = kFirstPacketLifetime;
// Learned entries on other instances live up to 300 s, so the tuple must keep
// its target for longer than that.
constexpr Duration kLearnedClosedLifetime = std::chrono::seconds(305);
// Lifetime of flows that were opened and never continued.
constexpr Duration kOpeningLifetime = std::chrono::seconds(64);
// Replicas receive only refreshed copies, no packets, so their records live
// longer.
constexpr int kReplicaLifetimeFactor = 3;
// Minimum age at which an opening flow may be evicted from a full table.
constexpr Duration kEvictableOpening = std::chrono::seconds(5);
// A request without a packet for this long no longer occupies a slot of its
// target: either its end was lost, or the load report of the target is more
// accurate.
constexpr Duration kRequestCountTimeout = std::chrono::seconds(10);
// Lifetime of the copy of a request. The end of a request is not sent to the
// replica.
constexpr Duration kRequestCopyLifetime = std::chrono::seconds(120);
// Maximum number of records that Expire checks per state and call.
constexpr int kMaxExpireChecks = 256;
constexpr double kResetsPerSecond = 10;
constexpr double kResetBurst = 20;

}  // namespace

Steering::Impl::Counters::Counters(CounterSet& set)
    : placed(set.Emplace("flows_placed_total")),
      placed_off_hash(set.Emplace("flows_placed_off_hash_total")),
      awaiting_replica(set.Emplace("flows_awaiting_replica_total")),
      spilled(set.Emplace("flows_spilled_total")),
      refused(set.Emplace("flows_refused_total")),
      waited(set.Emplace("flows_waited_total")),
      unannounced_slowdowns(
          set.Emplace("slowdowns_total{announced=\"false\"}")),
      announced_slowdowns(set.Emplace("slowdowns_total{announced=\"true\"}")),
      silent_resets(set.Emplace("silent_flow_resets_total")),
      table_full(set.Emplace("record_table_full_total")),
      moved(set.Emplace("records_moved_total")),
      replica_lookups(set.Emplace("replica_lookups_total")) {}

Steering::Impl::Impl(const Options& options, PlacerFactory& placers,
                     SteeringSink& sink, CounterSet& counters)
    : options_(options),
      placers_(placers),
      sink_(sink),
      snapshot_(std::make_shared<Snapshot>()),
      table_(options.record_capacity),
      replicator_(options.batch_interval, sink),
      acks_(sink),
      recovery_(sink),
      counts_(options.count_interval, sink),
      reset_budget_(kResetsPerSecond, kResetBurst),
      counters_(new Counters(counters), [](Counters* c) { delete c; }) {}

void Steering::Impl::SetSnapshot(std::shared_ptr<const Snapshot> snapshot,
                                 TimePoint now) {
  const std::shared_ptr<const Snapshot> previous =
      std::exchange(snapshot_, std::move(snapshot));
  for (const Member& member : previous->members.members()) {
    const bool was_alive = member.state != MemberState::kDead &&
                           member.state != MemberState::kLeft;
    if (was_alive && !IsAlive(member.id)) OnInstanceRemoved(member.id, now);
  }
  DetectHealedDomains(*previous, now);
  TrackActivations(*previous, now);
  std::erase_if(service_placers_, [&](const auto& entry) {
    if (snapshot_->services.contains(entry.first)) return false;
    counts_.Erase(entry.first);
    return true;
  });
  for (auto& [service, placer] : service_placers_) {
    placers_.Update(*placer, snapshot_->services.at(service).service,
                    snapshot_->preset);
  }
  recovery_.OnSnapshot(*snapshot_, now);
  // Any record may have a new owner or replica.
  move_left_ = table_.slots();
}

void Steering::Impl::DetectHealedDomains(const Snapshot& previous,
                                         TimePoint now) {
  // A domain is missing if it has dead but no eligible members. One whose
  // members have all left gracefully has handed over its records.
  const auto is_missing = [](const Snapshot& snapshot, DomainId domain) {
    bool has_dead = false;
    for (const Member& member : snapshot.members.members()) {
      if (member.domain != domain) continue;
      if (MemberView::IsEligible(member)) return false;
      has_dead |= member.state == MemberState::kDead;
    }
    return has_dead;
  };
  has_missing_domain_ = false;
  for (const DomainId domain : snapshot_->domains) {
    const bool is_missing_now = is_missing(*snapshot_, domain);
    has_missing_domain_ |= is_missing_now;
    if (is_missing(previous, domain) && !is_missing_now) last_heal_ = now;
  }
}

void Steering::Impl::TrackActivations(const Snapshot& previous, TimePoint now) {
  std::erase_if(activated_, [&](const auto& entry) {
    return !snapshot_->services.contains(entry.first);
  });
  for (const auto& [id, view] : snapshot_->services) {
    const auto it = previous.services.find(id);
    if (it == previous.services.end()) continue;
    if (it->second.active.version != view.active.version) activated_[id] = now;
  }
}

void Steering::Impl::OnInstanceRemoved(InstanceId id, TimePoint now) {
  for (const BatchResult& lost : replicator_.Abandon(id)) {
    OnBatchResult(lost, now);
  }
  for (const auto& [service, placer] : service_placers_) {
    counts_.ErasePeer(service, id);
    placer->SetPeerCounts(id, {}, now);
  }
}

void Steering::Impl::OnTimer(TimePoint now) {
  DetectPause(now);
  for (const BatchResult& given_up : replicator_.OnTimer(now)) {
    OnBatchResult(given_up, now);
  }
  acks_.OnTimer(now);
  recovery_.OnTimer(now);
  for (const auto& [service, placer] : service_placers_) {
    counts_.OnTimer(*snapshot_, snapshot_->services.at(service), *placer, now);
  }
  MoveRecords(now);
  ProcessRecovered(now);
  ProcessWaiting(now);
  ExpireHeld(now);
  Expire(now);
}

bool Steering::Impl::handed_over() const noexcept {
  return is_leaving_ && move_left_ == 0 && replicator_.idle() && held_ == 0;
}

Steering::Stats Steering::Impl::stats() const noexcept {
  Stats stats;
  auto& table = const_cast<FlowTable&>(table_);
  for (std::size_t i = 0; i < table.slots(); ++i) {
    const FlowRecord* record = table.At(i);
    if (record == nullptr) continue;
    ++(record->role == RecordRole::kOwner ? stats.owned : stats.replicas);
  }
  stats.held = held_;
  stats.moving = move_left_;
  stats.recovering_services = recovery_.recovering();
  return stats;
}

const ServiceView* Steering::Impl::ViewOf(ServiceId service) const noexcept {
  const auto it = snapshot_->services.find(service);
  return it == snapshot_->services.end() ? nullptr : &it->second;
}

bool Steering::Impl::IsAlive(InstanceId id) const noexcept {
  const Member* member = snapshot_->members.Find(id);
  return member != nullptr && member->state != MemberState::kDead &&
         member->state != MemberState::kLeft;
}

Placer& Steering::Impl::PlacerOf(const ServiceView& view) {
  auto& placer = service_placers_[view.service.id];
  if (placer == nullptr) {
    placer =
        placers_.Make(view.service, snapshot_->preset, snapshot_->own_domain);
  }
  return *placer;
}

FlowRecord* Steering::Impl::EmplaceRecord(const Packet& packet,
                                          RecordState state, TimePoint now) {
  // A packet that was held already has a record.
  if (FlowRecord* record = table_.Find(packet.key, packet.hash)) {
    table_.Touch(*record, state, now);
    return record;
  }
  if (table_.full() && !EvictOne(now)) {
    counters_->table_full.Add();
    return nullptr;
  }
  FlowRecord* record = table_.Emplace(packet.key, packet.hash, state, now);
  record->initial_sequence = packet.sequence;
  return record;
}

bool Steering::Impl::EvictOne(TimePoint now) {
  FlowRecord* record = table_.Oldest(RecordState::kClosing);
  if (record == nullptr) record = table_.Oldest(RecordState::kRefused);
  if (record == nullptr) record = table_.Oldest(RecordState::kOpening);
  if (record == nullptr || record->is_pending) return false;
  const ServiceView* view = ViewOf(record->key.service);
  const bool must_stay = view != nullptr && !view->service.idempotent &&
                         now - record->last_seen < kFirstPacketLifetime;
  // Without the record, a retransmission of the first packet would run the
  // request a second time.
  if (must_stay) return false;
  if (record->state == RecordState::kOpening &&
      now - record->last_seen < kEvictableOpening) {
    return false;
  }
  EraseRecord(*record, now);
  return true;
}

void Steering::Impl::EraseRecord(FlowRecord& record, TimePoint now) {
  StopCounting(record, now);
  table_.Erase(record);
}

void Steering::Impl::StopCounting(FlowRecord& record, TimePoint now) {
  if (!record.is_counted) return;
  record.is_counted = false;
  const auto it = service_placers_.find(record.key.service);
  if (it != service_placers_.end()) it->second->End(record.target, now);
}

void Steering::Impl::Close(FlowRecord& record, TimePoint now) {
  if (record.state == RecordState::kClosing) return;
  StopCounting(record, now);
  table_.Touch(record, RecordState::kClosing, now);
  const ServiceView* view = ViewOf(record.key.service);
  if (view == nullptr || record.role != RecordRole::kOwner) return;
  // The copies of requests are numerous and expire soon, so their end is not
  // replicated.
  if (view->service.kind == FlowKind::kRequest) return;
  Replicate(record, OwnersOf(*snapshot_, *view, record.key, record.hash), now);
}

void Steering::Impl::Replicate(FlowRecord& record, const Owners& owners,
                               TimePoint now) {
  const RecordCopy copy{record.key, record.target, record.state};
  const ServiceView* view = ViewOf(record.key.service);
  if (view != nullptr && view->service.kind == FlowKind::kStream) {
    const InstanceId local_scheduler =
        SchedulerInDomainOf(*snapshot_, *view, record.target);
    if (local_scheduler != kNoInstance && local_scheduler != snapshot_->self &&
        local_scheduler != owners.replica) {
      replicator_.Add(local_scheduler, copy, false, now);
    }
  }
  if (owners.replica == kNoInstance || owners.replica == snapshot_->self) {
    return;
  }
  record.replica = owners.replica;
  replicator_.Add(owners.replica, copy, false, now);
}

Duration Steering::Impl::LifetimeOf(const FlowRecord& record) const noexcept {
  switch (record.state) {
    case RecordState::kClosing:
      return record.was_learned ? kLearnedClosedLifetime : kClosedLifetime;
    case RecordState::kRefused:
      return kClosedLifetime;
    case RecordState::kOpening:
    case RecordState::kEstablished:
      break;
  }
  if (record.role == RecordRole::kReplica) {
    const ServiceView* view = ViewOf(record.key.service);
    const bool is_request =
        view != nullptr && view->service.kind == FlowKind::kRequest;
    return is_request ? kRequestCopyLifetime
                      : options_.idle_timeout * kReplicaLifetimeFactor;
  }
  return record.state == RecordState::kOpening ? kOpeningLifetime
                                               : options_.idle_timeout;
}

void Steering::Impl::StopCountingIdle(TimePoint now) {
  while (!counted_requests_.empty()) {
    const CountedRequest oldest = counted_requests_.front();
    if (now - oldest.seen < kRequestCountTimeout) return;
    counted_requests_.pop_front();
    FlowRecord* record = table_.Find(oldest.key, HashFlow(oldest.key));
    if (record == nullptr || !record->is_counted) continue;
    if (now - record->last_seen < kRequestCountTimeout) {
      counted_requests_.push_back({record->key, now});
      continue;
    }
    StopCounting(*record, now);
  }
}

void Steering::Impl::Expire(TimePoint now) {
  StopCountingIdle(now);
  for (const RecordState state :
       {RecordState::kOpening, RecordState::kEstablished, RecordState::kClosing,
        RecordState::kRefused}) {
    for (int i = 0; i < kMaxExpireChecks; ++i) {
      FlowRecord* record = table_.Oldest(state);
      if (record == nullptr || now - record->last_seen < kClosedLifetime) break;
      if (now - record->last_seen >= LifetimeOf(*record)) {
        EraseRecord(*record, now);
        continue;
      }
      // Records of one state may have two lifetimes. If the oldest has the
      // longer one, it is moved to the end of the list, so that it does not
      // block the others.
      const TimePoint seen = record->last_seen;
      table_.Touch(*record, state, seen);
    }
  }
}

Steering::Steering(const Options& options, PlacerFactory& placers,
                   SteeringSink& sink, CounterSet& counters)
    : impl_(std::make_unique<Impl>(options, placers, sink, counters)) {}

Steering::~Steering() = default;

void Steering::SetSnapshot(std::shared_ptr<const Snapshot> snapshot,
                           TimePoint now) {
  impl_->SetSnapshot(std::move(snapshot), now);
}

Verdict Steering::OnPacket(const Packet& packet, bool repeated, TimePoint now) {
  // Same limit as for a packet that FastPath redirects: the owner consults the
  // previous owner, which consults the replica, which may redirect to the owner
  // again.
  return impl_->Decide(packet, repeated, kNoInstance, kNoInstance,
                       kRedirectHopLimit, now);
}

Verdict Steering::OnRedirect(const Packet& packet, bool repeated,
                             InstanceId asker, InstanceId from,
                             std::uint8_t hop_limit, TimePoint now) {
  return impl_->Decide(packet, repeated, asker, from, hop_limit, now);
}

void Steering::OnMessage(InstanceId from, const FlowMessage& message,
                         TimePoint now) {
  impl_->OnMessage(from, message, now);
}

void Steering::OnLocalEnd(const FlowKey& key, TimePoint now) {
  impl_->OnLocalEnd(key, now);
}

void Steering::OnReport(const LoadReport& report, TimePoint now) {
  impl_->OnReport(report, now);
}

void Steering::OnTimer(TimePoint now) { impl_->OnTimer(now); }

void Steering::BeginLeave(TimePoint /*now*/) { impl_->BeginLeave(); }

bool Steering::handed_over() const noexcept { return impl_->handed_over(); }

Steering::Stats Steering::stats() const noexcept { return impl_->stats(); }

}  // namespace sapphirestream
