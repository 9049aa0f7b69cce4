#include "sapphirestream/domain/dissemination.h"

#include <algorithm>
#include <utility>
#include <variant>

namespace sapphirestream {
namespace {

// A version becomes active at the latest this long after its preparation.
constexpr Duration kActivateAfter = std::chrono::seconds(2);
constexpr Duration kConfirmedFor = std::chrono::seconds(2);

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
  if (history_.Activate(confirmations_.complete(), kActivateAfter, now)) {
    OnVersionsChanged(now);
  }
  if (history_.DropIdle(now)) ++revision_;
  confirmations_.OnTimer(now);
  sender_.OnTimer(now);
  if (history_.newest() < target_) Pull(now);
}

bool Dissemination::IsConfirmed(TimePoint now) const noexcept {
  const bool is_behind =
      history_.newest() < target_ && now - behind_since_ >= kConfirmedFor;
  return !is_behind && now - confirmed_at_ < kConfirmedFor;
}

void Dissemination::OnPeerVersion(InstanceId peer, ConfigVersion version,
                                  TimePoint now) {
  Peer& known = peers_[peer];
  known.version = std::max(known.version, version);
  known.heard_at = now;
  // The version in use counts, not the newest: with frequent changes no peer
  // may ever name exactly the newest one.
  if (is_ready() && version >= history_.active()) confirmed_at_ = now;
  if (version <= target_) return;
  if (target_ <= history_.newest()) {
    behind_since_ = now;
    next_pull_ = now;
    pulls_ = 0;
  }
  target_ = version;
}

void Dissemination::OnVersionsChanged(TimePoint now) {
  ++revision_;
  confirmations_.SetOwn(history_.newest(), history_.active(), now);
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
  target_ = std::max(target_, version);
  pulls_ = 0;
  needs_snapshot_ = false;
  if (assembly_.version() <= version) assembly_.Clear();
  early_.erase(early_.begin(), early_.lower_bound(version));
  if (step.has_value()) Push(from, *step, now);
  OnVersionsChanged(now);
  const auto next = early_.find(version);
  if (next == early_.end()) return;
  const ConfigDelta early = next->second;
  early_.erase(next);
  TryDelta(kNoInstance, early.base, early.version, early.body, now);
}

}  // namespace sapphirestream
