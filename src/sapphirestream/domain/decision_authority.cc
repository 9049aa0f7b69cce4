#include "sapphirestream/domain/decision_authority.h"

#include <algorithm>

namespace sapphirestream {

DecisionAuthority::DecisionAuthority(InstanceId self, DomainId domain,
                                     std::uint64_t first_sequence,
                                     TimePoint now)
    : self_(self),
      domain_(domain),
      next_sequence_(first_sequence),
      first_valid_(first_sequence),
      last_tick_(now) {}

Duration DecisionAuthority::OnTick(TimePoint now) {
  const Duration gap = now - last_tick_;
  last_tick_ = now;
  if (gap <= kPauseLimit) return Duration::zero();
  Withdraw();
  return gap;
}

std::uint64_t DecisionAuthority::NextSequence(TimePoint now) {
  while (!sent_.empty() && now - sent_.front().at > kEchoLifetime) {
    sent_.pop_front();
  }
  sent_.push_back({next_sequence_, now});
  return next_sequence_++;
}

void DecisionAuthority::OnEcho(InstanceId peer, std::uint64_t sequence) {
  Echo& echo = echoes_[peer];
  if (sequence <= echo.sequence) return;
  const auto it = std::lower_bound(
      sent_.begin(), sent_.end(), sequence,
      [](const Sent& sent, std::uint64_t s) { return sent.sequence < s; });
  if (it == sent_.end() || it->sequence != sequence) return;
  echo = {sequence, it->at};
}

bool DecisionAuthority::IsEchoed(InstanceId peer) const noexcept {
  const auto it = echoes_.find(peer);
  return it != echoes_.end() && it->second.sequence >= first_valid_;
}

TimePoint DecisionAuthority::SupportOf(InstanceId peer) const noexcept {
  if (!IsEchoed(peer)) return kNone;
  return echoes_.at(peer).sent_at + kEchoLifetime;
}

TimePoint DecisionAuthority::Until(const MemberView& view,
                                   std::uint64_t key) const {
  const Member* own = view.Find(self_);
  if (own == nullptr || !MemberView::IsEligible(*own)) return kNone;
  TimePoint until = last_tick_ + kPauseLimit;
  std::size_t others = 0;
  TimePoint all = until;
  for (const Member& member : view.members()) {
    if (member.domain != domain_ || member.id == self_) continue;
    if (!MemberView::IsEligible(member)) continue;
    ++others;
    all = std::min(all, SupportOf(member.id));
  }
  if (others < kFullMeshLimit) return all;
  // The two that would take over first are enough: neither declares this
  // instance dead while it echoes, and whoever ranks below waits for both.
  InstanceId ranked[2] = {kNoInstance, kNoInstance};
  std::uint64_t weights[2] = {0, 0};
  for (const Member& member : view.members()) {
    if (member.domain != domain_ || member.id == self_) continue;
    if (!MemberView::IsEligible(member)) continue;
    const std::uint64_t weight = RankWeight(key, member.id);
    if (weight > weights[0]) {
      ranked[1] = ranked[0];
      weights[1] = weights[0];
      ranked[0] = member.id;
      weights[0] = weight;
    } else if (weight > weights[1]) {
      ranked[1] = member.id;
      weights[1] = weight;
    }
  }
  return std::min({until, SupportOf(ranked[0]), SupportOf(ranked[1])});
}

}  // namespace sapphirestream
