// Steering of packets on a traffic thread.
#include "sapphirestream/flow/fast_path.h"

#include "sapphirestream/flow/ownership.h"
#include "sapphirestream/flow/stateless_rule.h"

namespace sapphirestream {
namespace {

// Steers a packet that the owner of its flow has to handle.
Verdict RouteToOwner(const Packet& packet, const Snapshot& snapshot,
                     const ServiceView& view) noexcept {
  const Owners owners = OwnersOf(snapshot, view, packet.key, packet.hash);
  if (owners.owner == snapshot.self) return {.kind = VerdictKind::kEscalate};
  InstanceId next = owners.owner;
  if (next == kNoInstance && !packet.opens()) {
    // If the home domain has no eligible instance, the replica has the records.
    // It does not decide first packets of services that are not idempotent.
    next = owners.replica;
    if (next == snapshot.self) return {.kind = VerdictKind::kEscalate};
  }
  if (next == kNoInstance) {
    if (RunsOnFirstPacket(view, packet.key)) {
      return DropFor(ErrorKind::kOwnerUnreachable);
    }
    const TargetId target = UnrecordedTarget(view, packet.hash);
    return target == kNoTarget ? DropFor(ErrorKind::kNoTargetAvailable)
                               : ForwardTo(target);
  }
  return {.kind = VerdictKind::kRedirect,
          .instance = next,
          .hop_limit = kRedirectHopLimit};
}

}  // namespace

FastPath::FastPath(const Options& options)
    : learned_(options.learned_capacity),
      learned_lifetime_(options.learned_lifetime) {}

Verdict FastPath::OnPacket(const Packet& packet, const Snapshot& snapshot,
                           TimePoint now, bool& repeated) {
  const auto it = snapshot.services.find(packet.key.service);
  if (it == snapshot.services.end()) return DropFor(ErrorKind::kUnknownService);
  const ServiceView& view = it->second;
  repeated =
      retransmissions_.IsRetransmission(packet) && view.service.idempotent;
  // The owner counts retransmissions, since they may arrive at different
  // instances.
  if (repeated) return RouteToOwner(packet, snapshot, view);
  if (snapshot.confirmed && IsStateless(view, packet.hash)) {
    return ForwardTo(view.active.table->At(packet.hash));
  }
  const LearnedTable::Entry* entry = learned_.Find(packet.key, packet.hash);
  const bool is_usable = entry != nullptr && !packet.opens() &&
                         now - entry->learned < learned_lifetime_;
  if (!is_usable) return RouteToOwner(packet, snapshot, view);
  const TargetId target = entry->target;
  if (packet.fin || packet.rst) {
    // The owner is notified through TakeEnded.
    ended_flow_ = packet.key;
    if (packet.rst) learned_.Erase(packet.key, packet.hash);
  }
  return ForwardTo(target);
}

void FastPath::Learn(const FlowKey& key, std::uint64_t hash, TargetId target,
                     TimePoint now) {
  learned_.Emplace(key, hash, target, now);
}

void FastPath::Forget(const FlowKey& key, std::uint64_t hash) {
  learned_.Erase(key, hash);
}

std::optional<FlowKey> FastPath::TakeEnded() {
  return std::exchange(ended_flow_, std::nullopt);
}

}  // namespace sapphirestream
