// Steering decisions about the first packets of flows: placement, and packets
// that wait for the replica of their flow's record.
#include "sapphirestream/flow/stateless_rule.h"
#include "sapphirestream/flow/steering_impl.h"

namespace sapphirestream {
namespace {

// Time limit for the acknowledgement of the replica and for the end of a
// recovery.
constexpr Duration kRecordDeadline = std::chrono::seconds(3);
// Time after a pause until the instance has received the changes that it
// missed.
constexpr Duration kPauseRecoveryTime = std::chrono::seconds(1);

}  // namespace

Verdict Steering::Impl::OnFirstPacket(const PacketContext& ctx) {
  const ServiceView& view = ctx.view;
  if (view.service.idempotent) return PlaceFirstPacket(ctx);
  // An instance that does not know whether another one has forwarded a copy of
  // the packet must not answer it. A first packet without data runs no request,
  // so a domain with a single instance may decide it even when partitioned off,
  // but not right after a pause, in which another instance may have taken over.
  const bool may_decide = MayRunRequest(ctx)
                              ? ctx.now < snapshot_->authority_until
                              : ctx.now >= resumed_at_ + kPauseRecoveryTime;
  if (!may_decide || is_leaving_) return DropFor(ErrorKind::kNoAuthority);
  if (!IsRecovered(ctx.packet, view, ctx.now)) {
    return Hold(recovering_, ctx, ctx.now + kRecordDeadline);
  }
  return PlaceFirstPacket(ctx);
}

Verdict Steering::Impl::PlaceFirstPacket(const PacketContext& ctx) {
  const ServiceView& view = ctx.view;
  const TargetId hash_target = view.active.table->At(ctx.packet.hash);
  const bool is_load_placed =
      IsLoadPlaced(ctx.packet.hash, view.active.load_share_permille);
  if (ctx.preferred != kNoTarget) {
    if (is_load_placed) PlacerOf(view).Adopt(ctx.preferred, ctx.now);
    return OnPlaced(ctx,
                    {.kind = PlacementKind::kPlaced, .target = ctx.preferred});
  }
  if (is_load_placed) {
    const Placement placement = PlacerOf(view).Place(
        {.flow_hash = ctx.packet.hash, .hash_target = hash_target}, ctx.now);
    return OnPlaced(ctx, placement);
  }
  if (hash_target == kNoTarget) {
    return Refuse(ctx, ErrorKind::kNoTargetAvailable);
  }
  return OnPlaced(ctx, {.kind = PlacementKind::kPlaced, .target = hash_target});
}

Verdict Steering::Impl::OnPlaced(const PacketContext& ctx,
                                 const Placement& placement) {
  if (placement.kind == PlacementKind::kRefused) {
    return Refuse(ctx, placement.reason);
  }
  if (placement.kind == PlacementKind::kWait) {
    CountSlowdown(ctx.view);
    counters_->waited.Add();
    FlowRecord* record =
        EmplaceRecord(ctx.packet, RecordState::kOpening, ctx.now);
    if (record == nullptr) return AnswerWith(ErrorKind::kQueueFull);
    record->is_pending = true;
    return Hold(waiting_[ctx.view.service.id], ctx,
                ctx.now + snapshot_->preset.max_wait);
  }
  const bool was_counted =
      IsLoadPlaced(ctx.packet.hash, ctx.view.active.load_share_permille);
  FlowRecord* record =
      EmplaceRecord(ctx.packet, RecordState::kOpening, ctx.now);
  if (record == nullptr) {
    if (was_counted) PlacerOf(ctx.view).End(placement.target, ctx.now);
    const bool is_safe = ctx.view.service.idempotent &&
                         IsBucketStable(ctx.view, ctx.packet.hash);
    if (!is_safe) return AnswerWith(ErrorKind::kQueueFull);
    return ForwardTo(ctx.view.active.table->At(ctx.packet.hash));
  }
  record->target = placement.target;
  record->is_counted = was_counted;
  if (was_counted && ctx.view.service.kind == FlowKind::kRequest) {
    counted_requests_.push_back({record->key, ctx.now});
  }
  counters_->placed.Add();
  if (placement.spilled) counters_->spilled.Add();
  const bool is_implied =
      placement.target == ctx.view.active.table->At(ctx.packet.hash) &&
      IsBucketStable(ctx.view, ctx.packet.hash);
  if (!is_implied) counters_->placed_off_hash.Add();
  if (!MayRunRequest(ctx) || is_implied) {
    Replicate(*record, ctx.owners, ctx.now);
    return ForwardRecorded(*record, ctx);
  }
  return HoldForReplica(*record, ctx);
}

Verdict Steering::Impl::HoldForReplica(FlowRecord& record,
                                       const PacketContext& ctx) {
  const ServiceView& view = ctx.view;
  record.needs_ack = true;
  if (ctx.owners.replica == kNoInstance) {
    // A copy that was sent earlier may have arrived and names this target.
    if (record.replica != kNoInstance ||
        !IsBucketStable(view, ctx.packet.hash)) {
      return DropFor(ErrorKind::kOwnerUnreachable);
    }
    // No instance can keep a copy. A new owner would choose the hash target, so
    // only that one is safe.
    StopCounting(record, ctx.now);
    record.needs_ack = false;
    record.target = view.active.table->At(ctx.packet.hash);
    PlacerOf(view).Adopt(record.target, ctx.now);
    record.is_counted = true;
    return ForwardRecorded(record, ctx);
  }
  if (held_ >= options_.hold_capacity) return DropFor(ErrorKind::kQueueFull);
  counters_->awaiting_replica.Add();
  record.is_pending = true;
  record.replica = ctx.owners.replica;
  const std::uint64_t sequence = replicator_.SendUrgent(
      record.replica, {record.key, record.target, RecordState::kOpening},
      ctx.now);
  const std::uint64_t token = next_token_++;
  ++held_;
  unacknowledged_.emplace(sequence,
                          HeldPacket{.token = token,
                                     .packet = ctx.packet,
                                     .asker = ctx.asker,
                                     .since = ctx.now,
                                     .deadline = ctx.now + kRecordDeadline});
  return {.kind = VerdictKind::kHold, .token = token};
}

Verdict Steering::Impl::Hold(std::deque<HeldPacket>& queue,
                             const PacketContext& ctx, TimePoint deadline) {
  if (held_ >= options_.hold_capacity) {
    FlowRecord* record = table_.Find(ctx.packet.key, ctx.packet.hash);
    if (record == nullptr) return DropFor(ErrorKind::kQueueFull);
    EraseRecord(*record, ctx.now);
    return Refuse(ctx, ErrorKind::kQueueFull);
  }
  const std::uint64_t token = next_token_++;
  ++held_;
  queue.push_back({.token = token,
                   .packet = ctx.packet,
                   .asker = ctx.asker,
                   .since = ctx.now,
                   .deadline = deadline});
  return {.kind = VerdictKind::kHold, .token = token};
}

}  // namespace sapphirestream
