// Packets that wait for their service, their record or their owner.
#include <algorithm>
#include <utility>

#include "sapphirestream/flow/fast_path.h"
#include "sapphirestream/flow/stateless_rule.h"
#include "sapphirestream/flow/steering_impl.h"

namespace sapphirestream {

void Steering::Impl::ProcessWaiting(TimePoint now) {
  for (auto& [service, queue] : waiting_) {
    if (queue.empty()) continue;
    if (const ServiceView* view = ViewOf(service)) {
      ProcessWaiting(*view, queue, now);
    }
  }
}

void Steering::Impl::ProcessWaiting(const ServiceView& view,
                                    std::deque<HeldPacket>& queue,
                                    TimePoint now) {
  while (!queue.empty()) {
    const HeldPacket held = queue.front();
    if (RedirectIfMoved(held, view, now)) {
      queue.pop_front();
      continue;
    }
    FlowRecord* record = table_.Find(held.packet.key, held.packet.hash);
    const bool may_decide = held.packet.payload_size == 0 ||
                            view.service.idempotent ||
                            now < snapshot_->authority_until;
    const bool is_over = record == nullptr || now >= held.deadline;
    if (!is_over && !may_decide) return;
    Verdict verdict{.kind = VerdictKind::kDrop,
                    .reason = ErrorKind::kDeadlineExceeded};
    if (is_over) {
      queue.pop_front();
      --held_;
      if (record != nullptr && may_decide) {
        record->is_pending = false;
        record->reason = ErrorKind::kDeadlineExceeded;
        table_.Touch(*record, RecordState::kRefused, now);
        counters_->refused.Add();
        verdict.kind = VerdictKind::kAnswer;
      } else if (record != nullptr) {
        EraseRecord(*record, now);
      }
      sink_.Release(held.token, verdict);
      continue;
    }
    const Placement placement = PlacerOf(view).Place(
        {.flow_hash = held.packet.hash,
         .hash_target = view.active.table->At(held.packet.hash),
         .waited = now - held.since},
        now);
    if (placement.kind == PlacementKind::kWait) return;
    queue.pop_front();
    --held_;
    record->is_pending = false;
    const PacketContext ctx{
        .packet = held.packet,
        .view = view,
        .owners = OwnersOf(*snapshot_, view, held.packet.key, held.packet.hash),
        .repeated = false,
        .asker = held.asker,
        .from = held.asker,
        .hop_limit = 0,
        .now = now};
    verdict = OnPlaced(ctx, placement);
    if (verdict.kind == VerdictKind::kHold) {
      RestoreToken(held, verdict.token);
      continue;
    }
    sink_.Release(held.token, verdict);
  }
}

void Steering::Impl::RestoreToken(const HeldPacket& held,
                                  std::uint64_t new_token) {
  const auto keep = [&](HeldPacket& other) {
    if (other.token == new_token) other.token = held.token;
  };
  for (auto& [sequence, other] : unacknowledged_) keep(other);
  for (HeldPacket& other : waiting_[held.packet.key.service]) keep(other);
}

bool Steering::Impl::RedirectIfMoved(const HeldPacket& held,
                                     const ServiceView& view, TimePoint now) {
  const Owners owners =
      OwnersOf(*snapshot_, view, held.packet.key, held.packet.hash);
  if (owners.owner == snapshot_->self || owners.owner == kNoInstance) {
    return false;
  }
  if (FlowRecord* record = table_.Find(held.packet.key, held.packet.hash)) {
    EraseRecord(*record, now);
  }
  --held_;
  sink_.Release(held.token, {.kind = VerdictKind::kRedirect,
                             .instance = owners.owner,
                             .hop_limit = kRedirectHopLimit - 1});
  return true;
}

void Steering::Impl::ProcessRecovered(TimePoint now) {
  std::deque<HeldPacket> later;
  while (!recovering_.empty()) {
    const HeldPacket held = recovering_.front();
    recovering_.pop_front();
    const ServiceView* view = ViewOf(held.packet.key.service);
    if (view == nullptr || now >= held.deadline) {
      --held_;
      sink_.Release(held.token, {.kind = VerdictKind::kDrop,
                                 .reason = ErrorKind::kOwnerUnreachable});
      continue;
    }
    if (RedirectIfMoved(held, *view, now)) continue;
    if (!IsRecovered(held.packet, *view, now)) {
      later.push_back(held);
      continue;
    }
    --held_;
    const Verdict verdict =
        Decide(held.packet, false, held.asker, held.asker, 0, now);
    if (verdict.kind != VerdictKind::kHold) {
      sink_.Release(held.token, verdict);
      continue;
    }
    RestoreToken(held, verdict.token);
  }
  recovering_.insert(recovering_.end(), later.begin(), later.end());
}

void Steering::Impl::ExpireHeld(TimePoint now) {
  for (auto it = unacknowledged_.begin(); it != unacknowledged_.end();) {
    if (now < it->second.deadline) {
      ++it;
      continue;
    }
    sink_.Release(it->second.token, {.kind = VerdictKind::kDrop,
                                     .reason = ErrorKind::kOwnerUnreachable});
    if (FlowRecord* record =
            table_.Find(it->second.packet.key, it->second.packet.hash)) {
      record->is_pending = false;
    }
    it = unacknowledged_.erase(it);
    --held_;
  }
}

}  // namespace sapphirestream
