// Event handling of one instance.
#include "bench/fleet/node.h"

#include <algorithm>
#include <utility>

namespace sapphirestream::fleet {
namespace {

constexpr Duration kAuthority = std::chrono::milliseconds(1500);
// Time until peers have echoed a heartbeat sent after a pause.
constexpr Duration kEchoTime = std::chrono::milliseconds(300);
constexpr Duration kRebuildInterval = std::chrono::seconds(1);

}  // namespace

Node::Node(Fleet& fleet, InstanceId id, DomainId domain)
    : fleet_(fleet),
      id_(id),
      domain_(domain),
      fast_path_(fleet.options_.fast_path),
      steering_(fleet.options_.steering, factory_, *this, counters_),
      builder_(fleet.options_.steering.idle_timeout) {}

void Node::Run(const std::function<void(Node&)>& event) {
  if (is_stopped_) return;
  if (is_paused_) {
    delayed_.push_back(event);
    return;
  }
  event(*this);
}

void Node::Pause(TimePoint until) {
  is_paused_ = true;
  fleet_.queue_.After(until - now(), [this] {
    is_paused_ = false;
    // The authority from before the pause has expired by the monotonic clock;
    // it is renewed when peers have echoed a heartbeat.
    no_authority_before_ = now() + kEchoTime;
    authority_until_ = TimePoint{};
    Rebuild();
    for (const auto& event : std::exchange(delayed_, {})) Run(event);
  });
}

void Node::SetConfigurations(std::shared_ptr<const Configuration> active,
                             std::shared_ptr<const Configuration> newest) {
  active_ = std::move(active);
  newest_ = std::move(newest);
  fleet_.observer_.OnConfigurations(id_, *active_, *newest_);
  Rebuild();
}

void Node::OnNewerVersion(ConfigVersion version) {
  newest_known_version_ = std::max(newest_known_version_, version);
  if (newest_->version < newest_known_version_) Rebuild();
}

void Node::SetMembers(std::vector<Member> members) {
  MemberView view(std::move(members));
  const auto same = std::equal(view.members().begin(), view.members().end(),
                               view_.members().begin(), view_.members().end());
  if (same) return;
  previous_view_ = std::exchange(view_, std::move(view));
  Rebuild();
}

void Node::SetLeaving() { steering_.BeginLeave(now()); }

void Node::Rebuild() {
  if (active_ == nullptr || is_stopped_) return;
  last_rebuild_ = now();
  const bool has_lapsed = now() < no_authority_before_;
  authority_until_ = has_lapsed ? TimePoint{} : now() + kAuthority;
  snapshot_ =
      builder_.Build({.self = id_,
                      .own_domain = domain_,
                      .active = active_,
                      .newest = newest_,
                      .members = view_,
                      .previous_members = previous_view_,
                      .confirmed = newest_->version >= newest_known_version_,
                      .authority_until = authority_until_,
                      .now = fleet_.WallNow()});
  steering_.SetSnapshot(snapshot_, now());
}

void Node::OnTick() {
  if (is_stopped_ || is_paused_ || snapshot_ == nullptr) return;
  if (now() - last_rebuild_ >= kRebuildInterval ||
      (authority_until_ == TimePoint{} && now() >= no_authority_before_)) {
    Rebuild();
  }
  steering_.OnTimer(now());
}

void Node::OnPacket(const PacketInFlight& packet) {
  if (snapshot_ == nullptr) return;
  bool repeated = false;
  Verdict verdict =
      fast_path_.OnPacket(packet.packet, *snapshot_, now(), repeated);
  if (auto ended = fast_path_.TakeEnded()) steering_.OnLocalEnd(*ended, now());
  if (verdict.kind == VerdictKind::kEscalate) {
    verdict = steering_.OnPacket(packet.packet, repeated, now());
  }
  Execute(verdict, packet, repeated, id_);
}

void Node::OnRedirect(const PacketInFlight& packet, bool repeated,
                      InstanceId asker, InstanceId from,
                      std::uint8_t hop_limit) {
  if (snapshot_ == nullptr) return;
  const Verdict verdict = steering_.OnRedirect(packet.packet, repeated, asker,
                                               from, hop_limit, now());
  Execute(verdict, packet, repeated, asker);
}

void Node::OnMessage(InstanceId from, const FlowMessage& message) {
  if (snapshot_ == nullptr) return;
  steering_.OnMessage(from, message, now());
}

void Node::Execute(const Verdict& verdict, const PacketInFlight& packet,
                   bool repeated, InstanceId asker) {
  switch (verdict.kind) {
    case VerdictKind::kForward: {
      const TargetId target = verdict.target;
      fleet_.observer_.OnForwarded(packet, target, id_);
      return;
    }
    case VerdictKind::kRedirect: {
      fleet_.observer_.OnRedirected(packet, id_, verdict.instance);
      const std::uint8_t hops = verdict.hop_limit;
      fleet_.Transmit(id_, verdict.instance,
                      [packet, repeated, asker, from = id_, hops](Node& node) {
                        node.OnRedirect(packet, repeated, asker, from, hops);
                      });
      return;
    }
    case VerdictKind::kHold:
      held_[verdict.token] = {packet, asker, repeated};
      return;
    case VerdictKind::kAnswer:
      fleet_.observer_.OnAnswered(packet, verdict.reason, id_);
      return;
    case VerdictKind::kDrop:
    case VerdictKind::kEscalate:
      fleet_.observer_.OnDropped(packet, verdict.reason, id_);
      return;
  }
}

void Node::Send(InstanceId to, const FlowMessage& message) {
  fleet_.SendMessage(id_, to, message);
}

void Node::Release(std::uint64_t token, const Verdict& verdict) {
  const auto it = held_.find(token);
  if (it == held_.end()) return;
  const HeldPacket held = it->second;
  held_.erase(it);
  Execute(verdict, held.packet, held.repeated, held.asker);
}

void Node::LearnFlow(const FlowKey& key, TargetId target) {
  fast_path_.Learn(key, HashFlow(key), target, now());
}

void Node::ForgetFlow(const FlowKey& key) {
  fast_path_.Forget(key, HashFlow(key));
}

}  // namespace sapphirestream::fleet
