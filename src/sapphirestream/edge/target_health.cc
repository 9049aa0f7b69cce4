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
  constexpr std::array<std::string_view, 4> names{"accepted", "refused",
                                                  "silent", "failed"};
  return names[static_cast<std::size_t>(outcome)];
}

void TargetHealth::OnLife(TimePoint now) noexcept {
  last_life_ = now;
  unanswered_ = 0;
  failed_probes_ = 0;
  refused_ = false;
  state_ = Reachability::kReachable;
}

bool TargetHealth::OnSilence(TimePoint silent_since, bool opening,
                             TimePoint now) noexcept {
  if (last_life_ > silent_since) return false;
  if (opening) ++unanswered_;
  if (probing_ || state_ == Reachability::kUnreachable) return false;
  if (unanswered_ >= kUnansweredLimit && last_probe_ > silent_since) {
    // A connection was accepted meanwhile, so nothing more can be learnt.
    state_ = Reachability::kUnresponsive;
    unresponsive_until_ = now + kUnresponsiveTime;
    return false;
  }
  if (now - last_probe_ < kProbePause) return false;
  probing_ = true;
  if (state_ == Reachability::kReachable) state_ = Reachability::kSuspect;
  return true;
}

bool TargetHealth::OnProbe(ProbeOutcome outcome, TimePoint begun,
                           TimePoint now) noexcept {
  probing_ = false;
  last_probe_ = now;
  const bool lost = outcome == ProbeOutcome::kRefused ||
                    (outcome == ProbeOutcome::kSilent && last_life_ <= begun);
  refused_ = outcome == ProbeOutcome::kRefused;
  if (lost) {
    ++failed_probes_;
    const bool is_new = state_ != Reachability::kUnreachable;
    state_ = Reachability::kUnreachable;
    return is_new;
  }
  if (outcome == ProbeOutcome::kFailed) {
    if (state_ == Reachability::kSuspect) state_ = Reachability::kReachable;
    return false;
  }
  failed_probes_ = 0;
  if (state_ == Reachability::kUnreachable) unanswered_ = 0;
  if (unanswered_ >= kUnansweredLimit) {
    state_ = Reachability::kUnresponsive;
    unresponsive_until_ = now + kUnresponsiveTime;
  } else {
    state_ = Reachability::kReachable;
  }
  return false;
}

bool TargetHealth::TakeRecheck(TimePoint now) noexcept {
  if (state_ != Reachability::kUnreachable || probing_) return false;
  if (now - last_probe_ < kRecheckPause) return false;
  probing_ = true;
  return true;
}

bool TargetHealth::TakeDoubt(TimePoint now) noexcept {
  const bool is_due = !probing_ && now - last_probe_ >= kProbePause &&
                      state_ != Reachability::kUnreachable;
  probing_ = probing_ || is_due;
  return is_due;
}

bool TargetHealth::accepts(TimePoint now) const noexcept {
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
