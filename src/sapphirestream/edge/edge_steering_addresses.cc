// Finds out by probes which of several targets has an address.
#include "sapphirestream/edge/edge_steering.h"

namespace sapphirestream {

void EdgeSteering::OnTargetsRead(TimePoint now) { ConfirmAddresses(now); }

void EdgeSteering::ConfirmAddresses(TimePoint now) {
  LogClaimChanges(now);
  address_probes_.Retain(targets_.unconfirmed());
  unconfirmed_.Set(targets_.unconfirmed().size());
  for (const TargetKey key : targets_.unconfirmed()) {
    EdgeTarget& target = *targets_.Find(key);
    if (!address_probes_.IsDue(key, now)) continue;
    // Also counts a probe that is in progress for another reason.
    address_probes_.OnProbed(key, now);
    if (target.health.StartIdentityProbeIfDue(now)) {
      StartProbe(target, ProbeKind::kIdentity, now);
    }
  }
}

void EdgeSteering::OnAddressProbe(EdgeTarget& target,
                                  const ProbeResult& result) {
  if (result.outcome == ProbeOutcome::kStranger) {
    targets_.OnOtherAnswer(target, result.answered_by, result.begun);
  } else if (result.answered_by == target.record.key) {
    targets_.OnAnswer(target, result.begun);
  } else if (result.outcome == ProbeOutcome::kAccepted) {
    targets_.OnAnonymousAnswer(target);
  }
  if (result.answered_name == target.record.name) {
    targets_.OnOwnName(target);
  }
}

void EdgeSteering::LogClaimChanges(TimePoint now) {
  for (const ClaimChange& change : targets_.TakeClaimChanges()) {
    log_.ClaimChanged(change, now);
  }
}

}  // namespace sapphirestream
