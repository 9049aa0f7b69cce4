#include "sapphirestream/domain/decision_authority.h"

#include <algorithm>
#include <vector>

namespace sapphirestream {
namespace {

constexpr std::ptrdiff_t kSuccessorCount = 2;
// Older heartbeats cannot extend the authority any more.
constexpr Duration kSentHeartbeatLifetime = std::chrono::seconds(2);

}  // namespace

DecisionAuthority::DecisionAuthority(InstanceId self, DomainId domain,
                                     std::uint64_t first_sequence,
                                     TimePoint now)
    : self_(self),
      domain_(domain),
      next_sequence_(first_sequence),
      first_valid_sequence_(first_sequence),
      last_tick_(now) {}

Duration DecisionAuthority::OnTick(TimePoint now) {
  const Duration gap = now - last_tick_;
  last_tick_ = now;
  if (gap <= kPauseLimit) return Duration::zero();
  Withdraw();
  return gap;
}

std::uint64_t DecisionAuthority::NextSequence(TimePoint now) {
  while (!sent_.empty() && now - sent_.front().at > kSentHeartbeatLifetime) {
    sent_.pop_front();
  }
  sent_.push_back({next_sequence_, now});
  return next_sequence_++;
}

TimePoint DecisionAuthority::OnEcho(InstanceId peer, std::uint64_t sequence) {
  Echo& echo = echoes_[peer];
  if (sequence <= echo.sequence) return kNone;
  const auto it = std::lower_bound(
      sent_.begin(), sent_.end(), sequence,
      [](const Sent& sent, std::uint64_t s) { return sent.sequence < s; });
  if (it == sent_.end() || it->sequence != sequence) return kNone;
  echo = {sequence, it->at};
  return it->at;
}

bool DecisionAuthority::HasEchoed(InstanceId peer) const noexcept {
  const auto it = echoes_.find(peer);
  return it != echoes_.end() && it->second.sequence >= first_valid_sequence_;
}

TimePoint DecisionAuthority::EchoExpiry(InstanceId peer) const noexcept {
  if (!HasEchoed(peer)) return kNone;
  return echoes_.at(peer).sent_at + kEchoLifetime;
}

TimePoint DecisionAuthority::ValidUntil(
    const MemberView& view, std::span<const InstanceId> ineligible_peers,
    std::uint64_t key) const {
  const Member* own = view.Find(self_);
  if (own == nullptr || !MemberView::IsEligible(*own)) return kNone;
  std::vector<InstanceId> peers(ineligible_peers.begin(),
                                ineligible_peers.end());
  for (const Member& member : view.members()) {
    if (member.domain != domain_ || member.id == self_) continue;
    if (MemberView::IsEligible(member)) peers.push_back(member.id);
  }
  if (peers.size() >= kFullMeshLimit) {
    // The two highest-ranked successors are sufficient: neither declares this
    // instance dead while it echoes its heartbeats, and lower-ranked members
    // wait for both.
    std::partial_sort(peers.begin(), peers.begin() + kSuccessorCount,
                      peers.end(), [key](InstanceId a, InstanceId b) {
                        return RankWeight(key, a) > RankWeight(key, b);
                      });
    peers.resize(kSuccessorCount);
  }
  TimePoint until = last_tick_ + kPauseLimit;
  for (const InstanceId peer : peers) until = std::min(until, EchoExpiry(peer));
  return until;
}

}  // namespace sapphirestream
