// Messages between owners and moves of records.
#include <algorithm>
#include <utility>
#include <variant>

#include "sapphirestream/flow/fast_path.h"
#include "sapphirestream/flow/stateless_rule.h"
#include "sapphirestream/flow/steering_impl.h"

namespace sapphirestream {
namespace {

// Maximum number of table positions that one RecordPull visits.
constexpr std::size_t kMaxPullPositions = 4'096;

template <typename... Handlers>
struct Overloaded : Handlers... {
  using Handlers::operator()...;
};
template <typename... Handlers>
Overloaded(Handlers...) -> Overloaded<Handlers...>;

}  // namespace

void Steering::Impl::OnMessage(InstanceId from, const FlowMessage& message,
                               TimePoint now) {
  std::visit(
      Overloaded{
          [&](const Learn& learn) { sink_.LearnFlow(learn.key, learn.target); },
          [&](const RecordBatch& batch) { OnBatch(from, batch, now); },
          [&](const RecordAck& ack) {
            for (const BatchResult& batch : replicator_.OnAck(from, ack)) {
              OnBatchResult(batch, now);
            }
          },
          [&](const RecordPull& pull) { OnPull(from, pull, now); },
          [&](const RecordPage& page) { OnPage(from, page, now); },
          [&](const FlowEnd& end) {
            for (const FlowKey& key : end.flows) OnLocalEnd(key, now);
          },
          [&](const PlacementCounts& counts) {
            if (const ServiceView* view = ViewOf(counts.service)) {
              counts_.OnCounts(from, counts, PlacerOf(*view), now);
            }
          },
      },
      message);
}

void Steering::Impl::OnLocalEnd(const FlowKey& key, TimePoint now) {
  const std::uint64_t hash = HashFlow(key);
  if (FlowRecord* record = table_.Find(key, hash);
      record != nullptr && record->role == RecordRole::kOwner) {
    Close(*record, now);
    return;
  }
  const ServiceView* view = ViewOf(key.service);
  if (view == nullptr) return;
  const Owners owners = OwnersOf(*snapshot_, *view, key, hash);
  if (owners.owner == kNoInstance || owners.owner == snapshot_->self) return;
  sink_.Send(owners.owner, FlowEnd{{key}});
}

void Steering::Impl::OnReport(const LoadReport& report, TimePoint now) {
  for (const auto& [id, view] : snapshot_->services) {
    if (view.targets.contains(report.target)) {
      PlacerOf(view).Report(report, now);
    }
  }
}

void Steering::Impl::OnBatch(InstanceId from, const RecordBatch& batch,
                             TimePoint now) {
  bool accepted = true;
  for (const RecordCopy& copy : batch.records) {
    if (!OnCopy(from, copy, batch.handover, now)) accepted = false;
  }
  if (batch.sequence != 0) acks_.Add(from, batch, accepted, now);
}

bool Steering::Impl::OnCopy(InstanceId from, const RecordCopy& copy,
                            bool handover, TimePoint now) {
  const ServiceView* view = ViewOf(copy.key.service);
  if (view == nullptr) return false;
  const std::uint64_t hash = HashFlow(copy.key);
  const Owners owners = OwnersOf(*snapshot_, *view, copy.key, hash);
  if (handover && owners.owner == snapshot_->self) {
    Adopt(copy, now);
    return true;
  }
  FlowRecord* record = table_.Find(copy.key, hash);
  // An acknowledgement promises that no other instance decides about the flow,
  // so the sender must be the owner by the member view of this instance.
  if (record == nullptr && !handover && owners.owner != from) return false;
  if (record != nullptr && record->role == RecordRole::kOwner) return false;
  if (record == nullptr) {
    if (copy.state == RecordState::kClosing) return true;
    Packet packet;
    packet.key = copy.key;
    packet.hash = hash;
    record = EmplaceRecord(packet, copy.state, now);
    if (record == nullptr) return false;
    record->role = RecordRole::kReplica;
    record->target = copy.target;
    return true;
  }
  const bool is_reused = record->state == RecordState::kClosing &&
                         copy.state != RecordState::kClosing;
  if (record->target != copy.target && !is_reused) return false;
  record->target = copy.target;
  table_.Touch(*record, copy.state, now);
  return true;
}

void Steering::Impl::Adopt(const RecordCopy& copy, TimePoint now) {
  const std::uint64_t hash = HashFlow(copy.key);
  FlowRecord* record = table_.Find(copy.key, hash);
  if (record != nullptr && record->role == RecordRole::kOwner) return;
  const ServiceView* view = ViewOf(copy.key.service);
  if (view == nullptr) return;
  if (record == nullptr) {
    Packet packet;
    packet.key = copy.key;
    packet.hash = hash;
    record = EmplaceRecord(packet, copy.state, now);
    if (record == nullptr) return;
  }
  record->target = copy.target;
  table_.Touch(*record, copy.state, now);
  Promote(*record, *view, now);
  counters_->moved.Add();
  Replicate(*record, OwnersOf(*snapshot_, *view, copy.key, hash), now);
}

void Steering::Impl::Promote(FlowRecord& record, const ServiceView& view,
                             TimePoint now) {
  record.role = RecordRole::kOwner;
  // Another instance may have learned the flow from the former owner.
  record.was_learned = true;
  const bool is_open = record.state == RecordState::kOpening ||
                       record.state == RecordState::kEstablished;
  if (is_open && IsLoadPlaced(record.hash, view.active.load_share_permille)) {
    PlacerOf(view).Adopt(record.target, now);
    record.is_counted = true;
  }
}

bool Steering::Impl::IsRecovered(const Packet& packet, const ServiceView& view,
                                 TimePoint now) const noexcept {
  const ServiceId service = view.service.id;
  if (packet.payload_size > 0) return recovery_.MayRunRequests(service, now);
  return recovery_.StateOf(service) != OwnershipState::kRecovering;
}

void Steering::Impl::OnPull(InstanceId from, const RecordPull& pull,
                            TimePoint /*now*/) {
  const ServiceView* view = ViewOf(pull.service);
  // An empty answer would wrongly mean that a service unknown here has no
  // records.
  if (view == nullptr) return;
  RecordPage page;
  page.service = pull.service;
  page.domain = pull.domain;
  std::size_t position = pull.cursor;
  const std::size_t end =
      std::min(table_.slots(),
               static_cast<std::size_t>(pull.cursor) + kMaxPullPositions);
  for (; position < end; ++position) {
    if (page.records.size() == Replicator::kBatchRecords) break;
    const FlowRecord* record = table_.At(position);
    if (record == nullptr || record->key.service != pull.service) continue;
    if (record->target == kNoTarget) continue;
    const Owners owners =
        OwnersOf(*snapshot_, *view, record->key, record->hash);
    if (owners.home != pull.domain) continue;
    page.records.push_back({record->key, record->target, record->state});
  }
  if (position < table_.slots()) page.next_cursor = position;
  sink_.Send(from, page);
}

void Steering::Impl::OnPage(InstanceId from, const RecordPage& page,
                            TimePoint now) {
  const ServiceView* view = ViewOf(page.service);
  if (view == nullptr) return;
  for (const RecordCopy& copy : page.records) {
    const Owners owners =
        OwnersOf(*snapshot_, *view, copy.key, HashFlow(copy.key));
    if (owners.owner == snapshot_->self) Adopt(copy, now);
  }
  recovery_.OnPage(from, page, now);
}

void Steering::Impl::OnBatchResult(const BatchResult& result, TimePoint now) {
  for (const RecordCopy& copy : result.batch.records) {
    FlowRecord* record = table_.Find(copy.key, HashFlow(copy.key));
    if (record != nullptr) OnAcknowledged(*record, result, now);
  }
  const auto it = unacknowledged_.find(result.batch.sequence);
  if (it == unacknowledged_.end()) return;
  const HeldPacket held = it->second;
  unacknowledged_.erase(it);
  --held_;
  FlowRecord* record = table_.Find(held.packet.key, held.packet.hash);
  // Authority may have expired before the acknowledgement arrived.
  const bool may_forward =
      result.accepted && record != nullptr && now < snapshot_->authority_until;
  if (may_forward) {
    sink_.Release(held.token,
                  {.kind = VerdictKind::kForward, .target = record->target});
    return;
  }
  sink_.Release(held.token, {.kind = VerdictKind::kDrop,
                             .reason = ErrorKind::kOwnerUnreachable});
}

void Steering::Impl::OnAcknowledged(FlowRecord& record,
                                    const BatchResult& result, TimePoint now) {
  if (result.batch.handover) {
    if (!result.accepted || record.role != RecordRole::kOwner) return;
    const ServiceView* view = ViewOf(record.key.service);
    if (view == nullptr) return;
    const Owners owners = OwnersOf(*snapshot_, *view, record.key, record.hash);
    if (owners.owner != result.to) return;
    StopCounting(record, now);
    record.role = RecordRole::kReplica;
    return;
  }
  if (record.needs_ack && record.is_pending) {
    record.is_pending = false;
    if (result.accepted) record.needs_ack = false;
  }
  // MoveRecords sends a copy that did not arrive again in its next pass.
  if (!result.accepted && record.replica == result.to && !record.needs_ack) {
    record.replica = kNoInstance;
    move_left_ = table_.slots();
  }
}

void Steering::Impl::MoveRecords(TimePoint now) {
  if (move_left_ == 0) {
    last_move_ = now;
    return;
  }
  const std::chrono::duration<double> elapsed = now - last_move_;
  auto budget = static_cast<std::int64_t>(elapsed.count() * options_.move_rate);
  if (budget == 0) return;
  last_move_ = now;
  while (budget > 0 && move_left_ > 0) {
    if (move_position_ >= table_.slots()) move_position_ = 0;
    FlowRecord* record = table_.At(move_position_++);
    --move_left_;
    if (record != nullptr && MoveRecord(*record, now)) --budget;
  }
}

bool Steering::Impl::MoveRecord(FlowRecord& record, TimePoint now) {
  if (record.role != RecordRole::kOwner || record.target == kNoTarget) {
    return false;
  }
  if (record.state == RecordState::kRefused || record.is_pending) return false;
  const ServiceView* view = ViewOf(record.key.service);
  if (view == nullptr) return false;
  const Owners owners = OwnersOf(*snapshot_, *view, record.key, record.hash);
  const RecordCopy copy{record.key, record.target, record.state};
  if (owners.owner != snapshot_->self && owners.owner != kNoInstance) {
    replicator_.Add(owners.owner, copy, true, now);
    return true;
  }
  if (record.state == RecordState::kClosing || record.needs_ack) return false;
  if (owners.replica == kNoInstance || owners.replica == record.replica) {
    return false;
  }
  Replicate(record, owners, now);
  return true;
}

}  // namespace sapphirestream
