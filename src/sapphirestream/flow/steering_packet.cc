// Steering decisions about packets of known and unknown flows.
// steering_first_packet.cc handles the first packets of flows.
#include "sapphirestream/flow/stateless_rule.h"
#include "sapphirestream/flow/steering_impl.h"

namespace sapphirestream {
namespace {

// A flow is silent after this many retransmissions of the same payload, if at
// least kMinSilentDuration lies between the first and the last. Retransmissions
// back off exponentially, so several over 10 s mean repeated loss.
constexpr std::uint8_t kSilentRetransmissions = 3;
constexpr Duration kMinSilentDuration = std::chrono::seconds(10);
// A target that made progress with another flow within this time is healthy.
constexpr Duration kProgressWindow = std::chrono::seconds(30);
// Time after a healed partition until records have been exchanged.
constexpr Duration kHealWindow = std::chrono::seconds(10);
// Timer calls come every 10 ms; a longer gap than this means that the process
// was paused.
constexpr Duration kMaxTimerGap = std::chrono::milliseconds(500);
// A datagram does not show whether it is the first of its flow. For this time
// after a new version became active, a datagram without a record is taken as
// part of a flow on the former target. Must be less than the 3 s in which a
// target that is drained may still get new flows.
constexpr Duration kDatagramGrace = std::chrono::milliseconds(2500);
constexpr Duration kUdpRefusalLifetime = std::chrono::seconds(1);

// Returns whether the packet may be the first of a flow.
bool MayBeFirst(const Packet& packet) noexcept {
  return packet.opens() || packet.key.protocol == Protocol::kUdp;
}

std::uint32_t AskerBit(InstanceId asker) noexcept {
  return 1U << (Value(asker) % 32);
}

}  // namespace

Verdict Steering::Impl::Decide(const Packet& packet, bool repeated,
                               InstanceId asker, InstanceId from,
                               std::uint8_t hop_limit, TimePoint now) {
  DetectPause(now);
  const ServiceView* view = ViewOf(packet.key.service);
  if (view == nullptr) return DropFor(ErrorKind::kUnknownService);
  PacketContext ctx{
      .packet = packet,
      .view = *view,
      .owners = OwnersOf(*snapshot_, *view, packet.key, packet.hash),
      .repeated = repeated,
      .asker = asker,
      .from = from,
      .hop_limit = hop_limit,
      .now = now};
  FlowRecord* record = table_.Find(packet.key, packet.hash);
  if (record == nullptr) return OnUnknown(ctx);
  ctx.is_duplicate = packet.opens();
  return OnKnown(*record, ctx);
}

void Steering::Impl::DetectPause(TimePoint now) noexcept {
  if (last_call_ != TimePoint{} && now - last_call_ > kMaxTimerGap) {
    resumed_at_ = now;
  }
  last_call_ = now;
}

bool Steering::Impl::MayRunRequest(const PacketContext& ctx) noexcept {
  return !ctx.view.service.idempotent && ctx.packet.payload_size > 0;
}

Verdict Steering::Impl::OnKnown(FlowRecord& record, const PacketContext& ctx) {
  const Packet& packet = ctx.packet;
  if (record.state == RecordState::kRefused) return OnRefused(record, ctx);
  // The packet is a retransmission; the held original will be forwarded.
  if (record.is_pending) return DropFor(ErrorKind::kNone);
  if (record.role == RecordRole::kReplica &&
      ctx.owners.owner == snapshot_->self) {
    Promote(record, ctx.view, ctx.now);
  }
  if (!ctx.view.targets.contains(record.target)) {
    return DropFor(ErrorKind::kNoTargetAvailable);
  }
  if (packet.opens() && MayReuse(record, ctx)) {
    PacketContext reuse = ctx;
    // Other instances may still have a learned entry with the former target.
    if (record.was_learned && AcceptsNewFlows(ctx.view, record.target)) {
      reuse.preferred = record.target;
    }
    EraseRecord(record, ctx.now);
    return OnUnknown(reuse);
  }
  if (record.needs_ack) return HoldForReplica(record, ctx);
  if (ctx.repeated && record.role == RecordRole::kOwner) {
    return OnRetransmission(record, ctx);
  }
  return ForwardRecorded(record, ctx);
}

bool Steering::Impl::MayReuse(const FlowRecord& record,
                              const PacketContext& ctx) const noexcept {
  return record.role == RecordRole::kOwner &&
         record.state == RecordState::kClosing &&
         record.initial_sequence != ctx.packet.sequence;
}

bool Steering::Impl::AcceptsNewFlows(const ServiceView& view,
                                     TargetId target) const noexcept {
  const auto it = view.targets.find(target);
  return it != view.targets.end() &&
         it->second.IsInTableOf(view.active.version);
}

Verdict Steering::Impl::OnRefused(FlowRecord& record,
                                  const PacketContext& ctx) {
  const ErrorKind reason = record.reason;
  if (!MayBeFirst(ctx.packet)) return DropFor(reason);
  if (ctx.packet.key.protocol == Protocol::kUdp &&
      ctx.view.service.idempotent &&
      ctx.now - record.last_seen > kUdpRefusalLifetime) {
    EraseRecord(record, ctx.now);
    return OnUnknown(ctx);
  }
  return AnswerWith(reason);
}

Verdict Steering::Impl::OnRetransmission(FlowRecord& record,
                                         const PacketContext& ctx) {
  if (record.retransmit_sequence != ctx.packet.sequence) record.retransmits = 0;
  record.retransmit_sequence = ctx.packet.sequence;
  if (record.retransmits == 0) record.first_retransmit = ctx.now;
  if (record.retransmits < UINT8_MAX) ++record.retransmits;
  const bool is_silent =
      record.retransmits >= kSilentRetransmissions &&
      ctx.now - record.first_retransmit >= kMinSilentDuration;
  const auto progress = progress_.find(record.target);
  const bool target_is_healthy = progress != progress_.end() &&
                                 ctx.now - progress->second < kProgressWindow;
  if (!is_silent || !target_is_healthy || !ctx.view.service.idempotent ||
      !reset_budget_.Take(ctx.now)) {
    return ForwardRecorded(record, ctx);
  }
  counters_->silent_resets.Add();
  sink_.ForgetFlow(record.key);
  Close(record, ctx.now);
  return AnswerWith(ErrorKind::kSilentFlow);
}

void Steering::Impl::ReportProgress(const PacketContext& ctx, TargetId target) {
  const auto it = service_placers_.find(ctx.view.service.id);
  Placer* placer = it == service_placers_.end() ? nullptr : it->second.get();
  if (ctx.packet.opens()) {
    // A retransmitted first packet means that the target has not answered.
    if (ctx.is_duplicate && placer != nullptr) placer->OnStall(target, ctx.now);
    return;
  }
  progress_[target] = ctx.now;
  if (placer != nullptr) placer->OnProgress(target, ctx.now);
}

Verdict Steering::Impl::ForwardRecorded(FlowRecord& record,
                                        const PacketContext& ctx) {
  const Packet& packet = ctx.packet;
  const TargetId target = record.target;
  if (record.role == RecordRole::kReplica) {
    // The owner consulted this replica because it has no record; hand over the
    // record to it.
    if (ctx.owners.owner == ctx.from && ctx.from != kNoInstance) {
      counters_->replica_lookups.Add();
      replicator_.Add(ctx.from, {record.key, target, record.state}, true,
                      ctx.now);
    }
    table_.Touch(record, record.state, ctx.now);
    return ForwardTo(target);
  }
  if (!ctx.repeated) {
    // A retransmission is not marked by the first instance that sees it if the
    // original went through another one.
    const bool is_new_data = packet.payload_size > 0 &&
                             packet.sequence != record.retransmit_sequence;
    if (is_new_data) record.retransmits = 0;
    ReportProgress(ctx, target);
  }
  RecordState state = record.state;
  if (state == RecordState::kOpening && !packet.opens()) {
    state = RecordState::kEstablished;
  }
  table_.Touch(record, state, ctx.now);
  if (packet.fin || packet.rst) {
    Close(record, ctx.now);
  } else if (ctx.asker == kNoInstance) {
    record.was_learned = true;
    sink_.LearnFlow(record.key, target);
  } else if (!packet.opens()) {
    // Short flows send few packets through the same instance, so reporting the
    // target already for the first of them would cost more than it saves.
    if ((record.asker_bits & AskerBit(ctx.asker)) != 0) {
      record.was_learned = true;
      sink_.Send(ctx.asker, Learn{record.key, target});
    }
    record.asker_bits |= AskerBit(ctx.asker);
  }
  return ForwardTo(target);
}

Verdict Steering::Impl::OnUnknown(const PacketContext& ctx) {
  const InstanceId self = snapshot_->self;
  if (ctx.owners.owner == self) return OnUnknownAsOwner(ctx);
  if (ctx.owners.owner == kNoInstance ||
      (ctx.from == ctx.owners.owner && ctx.from != kNoInstance)) {
    return OnReplicaLookup(ctx);
  }
  return RedirectTo(ctx.owners.owner, ctx);
}

Verdict Steering::Impl::RedirectTo(InstanceId to, const PacketContext& ctx) {
  if (ctx.hop_limit == 0) return DropFor(ErrorKind::kHopLimitExceeded);
  return {.kind = VerdictKind::kRedirect,
          .instance = to,
          .hop_limit = static_cast<std::uint8_t>(ctx.hop_limit - 1)};
}

Verdict Steering::Impl::OnReplicaLookup(const PacketContext& ctx) {
  // If the member view of the sender differs, the sender may be an owner that
  // redirects instead of consulting. Only an instance that is the owner in both
  // views may run a request.
  const bool needs_owner = ctx.owners.owner == kNoInstance ||
                           RunsOnFirstPacket(ctx.view, ctx.packet.key) ||
                           MayRunRequest(ctx);
  if (needs_owner && MayBeFirst(ctx.packet)) {
    return DropFor(ErrorKind::kOwnerUnreachable);
  }
  // A former owner without a record consults the replica.
  if (ctx.owners.replica != snapshot_->self &&
      ctx.owners.replica != kNoInstance && ctx.hop_limit > 0) {
    return RedirectTo(ctx.owners.replica, ctx);
  }
  // Unlike an owner, a replica does not skip instances that left lookups
  // unanswered: it is asked only while the owner does not answer.
  const Owners joined = OwnersAfterJoining(ctx);
  for (const InstanceId other : {joined.owner, joined.replica}) {
    const bool has_searched = other == ctx.owners.owner;
    if (!has_searched && MayAsk(other, ctx)) return RedirectTo(other, ctx);
  }
  const TargetId target = TargetWithoutRecord(ctx);
  if (target == kNoTarget) return DropFor(ErrorKind::kOwnerUnreachable);
  if (ctx.owners.owner != kNoInstance) {
    replicator_.Add(ctx.from, {ctx.packet.key, target, RecordState::kOpening},
                    true, ctx.now);
  }
  return ForwardTo(target);
}

DomainSchedulers Steering::Impl::SchedulersOf(const ServiceView& view,
                                              DomainId domain) const noexcept {
  for (std::size_t i = 0; i < view.schedulers.size(); ++i) {
    if (snapshot_->domains[i] == domain) return view.schedulers[i];
  }
  return {};
}

Verdict Steering::Impl::OnUnknownAsOwner(const PacketContext& ctx) {
  const bool is_recovering =
      recovery_.StateOf(ctx.view.service.id) == OwnershipState::kRecovering;
  if (ctx.packet.opens()) return OnFirstPacket(ctx);
  if (ctx.packet.key.protocol == Protocol::kUdp &&
      !(ctx.view.service.idempotent && (is_recovering || IsNewlyActive(ctx)))) {
    return OnFirstPacket(ctx);
  }
  std::size_t lookups_to_skip =
      lookups_.CountUnanswered(ctx.packet.hash, ctx.packet.sequence, ctx.now);
  for (const InstanceId other : RecordHolders(ctx)) {
    if (!MayAsk(other, ctx)) continue;
    if (lookups_to_skip == 0) return RedirectTo(other, ctx);
    --lookups_to_skip;
  }
  return OnUnrecorded(ctx);
}

std::array<InstanceId, 4> Steering::Impl::RecordHolders(
    const PacketContext& ctx) const noexcept {
  const Owners previous = OwnersOf(*snapshot_, ctx.view, ctx.packet.key,
                                   ctx.packet.hash, MemberViewKind::kPrevious);
  const bool has_joined =
      previous.owner == kNoInstance || previous.owner == snapshot_->self;
  const InstanceId former =
      has_joined ? SchedulersOf(ctx.view, snapshot_->own_domain).second
                 : previous.owner;
  const Owners joined = OwnersAfterJoining(ctx);
  const auto unless_named = [&](InstanceId id) {
    const bool is_named = id == former || id == ctx.owners.replica;
    return is_named ? kNoInstance : id;
  };
  return {former, ctx.owners.replica, unless_named(joined.owner),
          unless_named(joined.replica)};
}

bool Steering::Impl::MayAsk(InstanceId other,
                            const PacketContext& ctx) const noexcept {
  if (other == kNoInstance || other == snapshot_->self) return false;
  const bool was_asked = other == ctx.from && ctx.from != ctx.asker;
  return !was_asked && IsAlive(other) && ctx.hop_limit > 0;
}

Owners Steering::Impl::OwnersAfterJoining(
    const PacketContext& ctx) const noexcept {
  // A stateless flow needs no record, and a first packet has none, so neither
  // waits for an instance that may not be able to answer yet.
  if (MayBeFirst(ctx.packet) || IsStateless(ctx.view, ctx.packet.hash)) {
    return {};
  }
  return OwnersOf(*snapshot_, ctx.view, ctx.packet.key, ctx.packet.hash,
                  MemberViewKind::kAfterJoining);
}

TargetId Steering::Impl::TargetWithoutRecord(
    const PacketContext& ctx) const noexcept {
  // The target of a flow with a record cannot be derived from its hash. If the
  // record may be on the other side of a partition, the packet is dropped,
  // because the client's retransmissions will find the record later, whereas a
  // wrong target would reset the flow.
  const bool may_be_elsewhere =
      has_missing_domain_ || ctx.now - last_heal_ < kHealWindow;
  if (may_be_elsewhere && !IsStateless(ctx.view, ctx.packet.hash)) {
    return kNoTarget;
  }
  return UnrecordedTarget(ctx.view, ctx.packet.hash);
}

bool Steering::Impl::IsNewlyActive(const PacketContext& ctx) const noexcept {
  const auto it = activated_.find(ctx.view.service.id);
  return it != activated_.end() && ctx.now - it->second < kDatagramGrace;
}

Verdict Steering::Impl::OnUnrecorded(const PacketContext& ctx) {
  const TargetId target = TargetWithoutRecord(ctx);
  if (target == kNoTarget) return DropFor(ErrorKind::kOwnerUnreachable);
  FlowRecord* record =
      EmplaceRecord(ctx.packet, RecordState::kOpening, ctx.now);
  if (record == nullptr) return ForwardTo(target);
  record->target = target;
  Replicate(*record, ctx.owners, ctx.now);
  return ForwardRecorded(*record, ctx);
}

Verdict Steering::Impl::Refuse(const PacketContext& ctx, ErrorKind reason) {
  CountSlowdown(ctx.view);
  counters_->refused.Add();
  FlowRecord* record =
      EmplaceRecord(ctx.packet, RecordState::kRefused, ctx.now);
  // Without a record, a retransmission could run after the client was told "not
  // run", so the packet is dropped without an answer.
  if (record == nullptr) return DropFor(reason);
  record->reason = reason;
  return AnswerWith(reason);
}

void Steering::Impl::CountSlowdown(const ServiceView& view) {
  (view.slowdown_announced ? counters_->announced_slowdowns
                           : counters_->unannounced_slowdowns)
      .Add();
}

}  // namespace sapphirestream
