#include "sapphirestream/edge/target_health.h"

#include <array>
#include <cstddef>

namespace sapphirestream {

std::string_view Name(Reachability state) noexcept {
  constexpr std::array<std::string_view, 4> names{
      "reachable", "suspect", "unresponsive", "unreachable"};
  return names[static_cast<std::size_t>(state)];
}

std::string_view Name(ProbeOutcome outcome) noexcept {
  constexpr std::array<std::string_view, 5> names{
      "accepted", "refused", "silent", "stranger", "failed"};
  return names[static_cast<std::size_t>(outcome)];
}

void TargetHealth::OnFlowProgress(TimePoint now) noexcept {
  last_progress_ = now;
  unanswered_ = 0;
  failed_probes_ = 0;
  state_ = Reachability::kReachable;
}

std::optional<ProbeKind> TargetHealth::OnUnanswered(TimePoint unanswered_since,
                                                    bool opening,
                                                    TimePoint now) noexcept {
  if (last_progress_ > unanswered_since) return std::nullopt;
  if (opening) ++unanswered_;
  if (probing_ || state_ == Reachability::kUnreachable) return std::nullopt;
  if (now - last_probe_ < kMinProbeInterval) return std::nullopt;
  if (state_ == Reachability::kUnresponsive && now < unresponsive_until_) {
    return std::nullopt;
  }
  // If connections are accepted but no flow is answered, the address may belong
  // to another target.
  const bool needs_identity_probe = unanswered_ >= kUnansweredLimit &&
                                    last_probe_accepted_ &&
                                    last_probe_ > last_progress_;
  probing_ = true;
  last_kind_ =
      needs_identity_probe ? ProbeKind::kIdentity : ProbeKind::kConnection;
  if (state_ == Reachability::kReachable) state_ = Reachability::kSuspect;
  return last_kind_;
}

bool TargetHealth::OnProbe(ProbeOutcome outcome, TimePoint begun,
                           TimePoint now) noexcept {
  probing_ = false;
  last_probe_ = now;
  last_probe_accepted_ = outcome == ProbeOutcome::kAccepted;
  const bool is_absent =
      outcome == ProbeOutcome::kRefused || outcome == ProbeOutcome::kStranger;
  if (is_absent ||
      (outcome == ProbeOutcome::kSilent && last_progress_ <= begun)) {
    ++failed_probes_;
    last_failure_ = begun;
    const bool is_new = state_ != Reachability::kUnreachable;
    state_ = Reachability::kUnreachable;
    return is_new;
  }
  // A probe without a result does not make an unreachable target reachable.
  if (outcome == ProbeOutcome::kFailed &&
      state_ == Reachability::kUnreachable) {
    return false;
  }
  failed_probes_ = 0;
  if (state_ == Reachability::kUnreachable) unanswered_ = 0;
  if (last_kind_ == ProbeKind::kIdentity && unanswered_ >= kUnansweredLimit) {
    state_ = Reachability::kUnresponsive;
    unresponsive_until_ = now + kUnresponsiveBackoff;
  } else {
    state_ = Reachability::kReachable;
  }
  return false;
}

bool TargetHealth::StartRecheckIfDue(TimePoint now) noexcept {
  if (state_ != Reachability::kUnreachable || probing_) return false;
  if (now - last_probe_ < kRecheckInterval) return false;
  probing_ = true;
  last_kind_ = ProbeKind::kIdentity;
  return true;
}

bool TargetHealth::StartIdentityProbeIfDue(TimePoint now) noexcept {
  const bool is_due = !probing_ && now - last_probe_ >= kMinProbeInterval;
  if (is_due) {
    probing_ = true;
    last_kind_ = ProbeKind::kIdentity;
  }
  return is_due;
}

bool TargetHealth::IsLostSince(TimePoint since, TimePoint now) const noexcept {
  return state_ == Reachability::kUnreachable && last_failure_ >= since &&
         now - last_failure_ <= kMaxProbeAge;
}

bool TargetHealth::AcceptsNewFlows(TimePoint now) const noexcept {
  switch (state_) {
    case Reachability::kReachable:
    case Reachability::kSuspect:
      return true;
    case Reachability::kUnresponsive:
      return now >= unresponsive_until_;
    case Reachability::kUnreachable:
      break;
  }
  return false;
}

}  // namespace sapphirestream
