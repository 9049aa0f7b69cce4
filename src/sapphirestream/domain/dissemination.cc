#include "sapphirestream/domain/dissemination.h"

#include <algorithm>
#include <utility>
#include <variant>

namespace sapphirestream {
namespace {

// A prepared version becomes active after this time even if not all instances
// have confirmed it.
constexpr Duration kActivationTimeout = std::chrono::seconds(2);
constexpr Duration kConfirmationLifetime = std::chrono::seconds(2);

}  // namespace

Dissemination::Dissemination(const Options& options, const ConfigBody& format,
                             DomainSink& sink, Random& random, TimePoint now)
    : self_(options.self),
      domain_(options.domain),
      format_(format),
      sink_(sink),
      random_(random),
      history_(options.retention, now),
      confirmations_(options.domain, sink),
      sender_(options.chunk_bytes_per_second, sink, now),
      behind_since_(now),
      next_pull_(now),
      confirmed_at_(now) {}

void Dissemination::OnView(const MemberView& view, TimePoint now) {
  RelayTree tree = MakeRelayTree(view, self_, domain_);
  if (tree == tree_) return;
  tree_ = std::move(tree);
  confirmations_.SetTree(tree_);
  confirmations_.OnTimer(now);
}

void Dissemination::OnStoreConfiguration(ConfigVersion version,
                                         std::string body, TimePoint now) {
  if (version <= history_.newest()) return;
  std::optional<std::string> delta;
  if (history_.body() != nullptr) {
    delta = format_.Diff(*history_.body(), body);
  }
  Prepare(kNoInstance, version, std::move(body), std::move(delta), now);
}

void Dissemination::OnMessage(InstanceId from, const DomainMessage& message,
                              TimePoint now) {
  if (const auto* heartbeat = std::get_if<Heartbeat>(&message)) {
    peers_[from].is_own_domain = heartbeat->domain == domain_;
    OnPeerVersion(from, heartbeat->prepared, now);
  } else if (const auto* delta = std::get_if<ConfigDelta>(&message)) {
    OnDelta(from, *delta, now);
  } else if (const auto* chunk = std::get_if<ConfigChunk>(&message)) {
    OnChunk(from, *chunk, now);
  } else if (const auto* pull = std::get_if<ConfigPull>(&message)) {
    OnPull(from, *pull, now);
  } else if (const auto* confirm = std::get_if<ConfigConfirm>(&message)) {
    OnPeerVersion(from, confirm->version, now);
    confirmations_.OnConfirm(from, *confirm, now);
    OnTimer(now);
  }
}

void Dissemination::OnTimer(TimePoint now) {
  if (history_.Activate(confirmations_.fully_prepared(), kActivationTimeout,
                        now)) {
    OnVersionsChanged(now);
  }
  if (history_.DropIdle(now)) ++revision_;
  confirmations_.OnTimer(now);
  sender_.OnTimer(now);
  if (history_.newest() < highest_known_) Pull(now);
}

bool Dissemination::IsConfirmed(TimePoint now) const noexcept {
  const bool is_behind = history_.newest() < highest_known_ &&
                         now - behind_since_ >= kConfirmationLifetime;
  return !is_behind && now - confirmed_at_ < kConfirmationLifetime;
}

void Dissemination::OnPeerVersion(InstanceId peer, ConfigVersion version,
                                  TimePoint now) {
  Peer& known = peers_[peer];
  known.version = std::max(known.version, version);
  known.heard_at = now;
  // Compares with the active version, not the newest one: with frequent changes
  // no peer may ever report exactly the newest version.
  if (is_ready() && version >= history_.active()) confirmed_at_ = now;
  if (version <= highest_known_) return;
  if (highest_known_ <= history_.newest()) {
    behind_since_ = now;
    next_pull_ = now;
    pull_attempts_ = 0;
  }
  highest_known_ = version;
}

void Dissemination::OnVersionsChanged(TimePoint now) {
  ++revision_;
  confirmations_.SetOwnVersions(history_.newest(), history_.active(), now);
  confirmations_.OnTimer(now);
}

void Dissemination::Prepare(InstanceId from, ConfigVersion version,
                            std::string body, std::optional<std::string> delta,
                            TimePoint now) {
  const ConfigVersion base = history_.newest();
  std::optional<ConfigStep> step;
  if (delta.has_value()) {
    step =
        ConfigStep{base, version, std::make_shared<const std::string>(*delta)};
  }
  history_.Prepare(version, std::move(body), std::move(delta), now);
  highest_known_ = std::max(highest_known_, version);
  pull_attempts_ = 0;
  needs_snapshot_ = false;
  if (assembly_.version() <= version) assembly_.Clear();
  pending_.erase(pending_.begin(), pending_.lower_bound(version));
  if (step.has_value()) Push(from, *step, now);
  OnVersionsChanged(now);
  const auto next = pending_.find(version);
  if (next == pending_.end()) return;
  const ConfigDelta pending = next->second;
  pending_.erase(next);
  TryDelta(kNoInstance, pending.base, pending.version, pending.body, now);
}

}  // namespace sapphirestream
