// The part of Dissemination that transfers deltas and snapshots between
// instances.
#include <algorithm>
#include <iterator>
#include <utility>

#include "sapphirestream/domain/dissemination.h"

namespace sapphirestream {
namespace {

// Delay before the first pull: a version reported by a peer usually arrives
// along the relay tree by itself.
constexpr Duration kPullDelay = std::chrono::milliseconds(60);
constexpr Duration kPullInterval = std::chrono::milliseconds(300);
// Limits the requests of an instance whose peers cannot supply the version.
constexpr Duration kSlowPullInterval = std::chrono::seconds(1);
constexpr std::uint32_t kFastPullAttempts = 10;
// A transfer is abandoned after this time without progress.
constexpr Duration kTransferTimeout = std::chrono::milliseconds(1'500);
// Peers without a message for longer than this are not asked.
constexpr Duration kPeerLifetime = std::chrono::seconds(5);
constexpr std::size_t kMissingPerRequest = 16;
constexpr std::size_t kMaxDeltas = 8;

}  // namespace

void Dissemination::OnDelta(InstanceId from, const ConfigDelta& message,
                            TimePoint now) {
  OnPeerVersion(from, message.version, now);
  TryDelta(from, message.base, message.version, message.body, now);
}

void Dissemination::TryDelta(InstanceId from, ConfigVersion base,
                             ConfigVersion version, const std::string& delta,
                             TimePoint now) {
  if (version <= history_.newest() || base >= version) return;
  if (base > history_.newest()) {
    pending_[base] = {base, version, delta};
    if (pending_.size() > kMaxDeltas) pending_.erase(std::prev(pending_.end()));
    return;
  }
  if (base < history_.newest() || history_.body() == nullptr) return;
  std::optional<std::string> body = format_.Apply(*history_.body(), delta);
  if (!body.has_value()) {
    needs_snapshot_ = true;
    return;
  }
  Prepare(from, version, std::move(*body), delta, now);
}

void Dissemination::Push(InstanceId from, const ConfigStep& step,
                         TimePoint now) {
  std::vector<InstanceId> receivers = tree_.children;
  if (tree_.parent != kNoInstance) receivers.push_back(tree_.parent);
  for (const InstanceId to : receivers) {
    if (to == from) continue;
    const auto peer = peers_.find(to);
    if (peer != peers_.end() && peer->second.version >= step.version) continue;
    SendStep(to, step, now);
  }
}

void Dissemination::SendStep(InstanceId to, const ConfigStep& step,
                             TimePoint now) {
  if (step.delta->size() <= kMaxChunkBytes) {
    sink_.Send(to, ConfigDelta{step.base, step.version, *step.delta});
  } else {
    sender_.Start(to, step.base, step.version, step.delta, now);
  }
}

void Dissemination::OnPull(InstanceId from, const ConfigPull& message,
                           TimePoint now) {
  OnPeerVersion(from, message.have, now);
  if (message.index != ConfigPull::kAllChunks) {
    if (sender_.Resend(from, message.wanted, message.index, now)) return;
  }
  if (history_.newest() <= message.have || history_.body() == nullptr) return;
  const auto steps = history_.StepsFrom(message.have);
  const bool is_short =
      steps.has_value() &&
      (steps->size() == 1 ||
       std::all_of(steps->begin(), steps->end(), [](const ConfigStep& step) {
         return step.delta->size() <= kMaxChunkBytes;
       }));
  if (is_short && message.have != ConfigVersion{}) {
    for (const ConfigStep& step : *steps) SendStep(from, step, now);
  } else {
    sender_.Start(from, ConfigVersion{}, history_.newest(), history_.body(),
                  now);
  }
}

void Dissemination::OnChunk(InstanceId from, const ConfigChunk& message,
                            TimePoint now) {
  OnPeerVersion(from, message.version, now);
  if (message.version <= history_.newest()) return;
  std::optional<ChunkAssembly::Body> body = assembly_.Add(from, message, now);
  if (!body.has_value()) return;
  if (body->base != ConfigVersion{}) {
    TryDelta(from, body->base, body->version, body->bytes, now);
    return;
  }
  std::optional<std::string> delta;
  if (history_.body() != nullptr) {
    delta = format_.Diff(*history_.body(), body->bytes);
  }
  Prepare(from, body->version, std::move(body->bytes), std::move(delta), now);
}

void Dissemination::Pull(TimePoint now) {
  if (now < next_pull_) return;
  if (is_ready() && now - behind_since_ < kPullDelay) return;
  if (!assembly_.is_empty()) {
    const Duration idle = now - assembly_.last_progress();
    if (idle < kPullInterval) return;
    if (idle < kTransferTimeout) {
      next_pull_ = now + kPullInterval;
      RequestMissing();
      return;
    }
    assembly_.Clear();
  }
  next_pull_ =
      now + (++pull_attempts_ <= kFastPullAttempts ? kPullInterval
                                                   : kSlowPullInterval);
  const InstanceId source = ChooseSource(now);
  if (source == kNoInstance) {
    // No reachable peer has the version any more.
    highest_known_ = history_.newest();
    return;
  }
  const ConfigVersion have =
      needs_snapshot_ ? ConfigVersion{} : history_.newest();
  sink_.Send(source, ConfigPull{have, highest_known_, ConfigPull::kAllChunks});
}

void Dissemination::RequestMissing() {
  for (const std::uint32_t index :
       assembly_.MissingChunks(kMissingPerRequest)) {
    sink_.Send(assembly_.source(),
               ConfigPull{history_.newest(), assembly_.version(), index});
  }
}

InstanceId Dissemination::ChooseSource(TimePoint now) {
  std::erase_if(peers_, [now](const auto& peer) {
    return now - peer.second.heard_at > kPeerLifetime;
  });
  std::vector<InstanceId> own_domain;
  std::vector<InstanceId> other_domains;
  for (const auto& [id, peer] : peers_) {
    if (peer.version < highest_known_) continue;
    (peer.is_own_domain ? own_domain : other_domains).push_back(id);
  }
  const std::vector<InstanceId>& sources =
      own_domain.empty() ? other_domains : own_domain;
  if (sources.empty()) return kNoInstance;
  return sources[random_.Below(sources.size())];
}

}  // namespace sapphirestream
