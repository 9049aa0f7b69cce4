// Which target has an address, and which entry is a target's own.
#include <algorithm>
#include <vector>

#include "sapphirestream/edge/target_directory.h"

namespace sapphirestream {

void TargetDirectory::UpdateClaim(EdgeTarget& target, StoreRevision revision,
                                  bool is_new_claim, bool is_copy,
                                  TimePoint now) {
  AddressClaim& claim = target.claim;
  if (is_new_claim) {
    claim = {.incarnation = target.record.incarnation,
             .written = revision,
             .made = now};
    target.is_anonymous = false;
  } else if (!is_copy) {
    claim.written = revision;
    claim.denied = {};
  }
}

void TargetDirectory::UpdateClaimsAt(V4Endpoint address) {
  const auto [begin, end] = by_address_.equal_range(address);
  std::vector<EdgeTarget*> claimants;
  std::vector<AddressClaim> claims;
  for (auto it = begin; it != end; ++it) {
    EdgeTarget& target = *it->second;
    if (target.listing == TargetPresence::kGone) {
      target.is_contested = false;
      SetClaimStatus(target, ClaimStatus::kHeld);
      continue;
    }
    claimants.push_back(&target);
    // Any writer may name any address under a service of its own.
    if (routes_.IsConfigured(target.service)) claims.push_back(target.claim);
  }
  for (EdgeTarget* const target : claimants) {
    const std::size_t own = routes_.IsConfigured(target->service) ? 1 : 0;
    target->is_contested = claims.size() > own || target->claim.IsDenied();
    SetClaimStatus(*target,
                   StatusOf(target->claim, claims, address_reuse_delay_));
  }
}

void TargetDirectory::SetClaimStatus(EdgeTarget& target, ClaimStatus status) {
  const TargetKey key = target.record.key;
  if (target.claim_status != status &&
      target.listing != TargetPresence::kGone) {
    claim_changes_.push_back({key, target.record.address, status});
  }
  target.claim_status = status;
  const bool may_be_there = status == ClaimStatus::kUnconfirmed &&
                            target.is_anonymous && !target.claim.IsDenied();
  target.presence = status == ClaimStatus::kHeld || may_be_there
                        ? target.listing
                        : TargetPresence::kGone;
  UpdateUnconfirmed(target);
}

void TargetDirectory::UpdateUnconfirmed(const EdgeTarget& target) {
  const bool needs_probe = target.listing != TargetPresence::kGone &&
                           (target.claim_status == ClaimStatus::kUnconfirmed ||
                            target.name_check == NameCheck::kPending);
  if (needs_probe) {
    unconfirmed_.insert(target.record.key);
  } else {
    unconfirmed_.erase(target.record.key);
  }
}

void TargetDirectory::OnAnonymousAnswer(EdgeTarget& target) {
  target.is_anonymous = true;
  if (target.is_contested) UpdateClaimsAt(target.record.address);
}

void TargetDirectory::OnOtherName(EdgeTarget& target) {
  if (target.name_check != NameCheck::kConfirmed) {
    target.name_check = NameCheck::kPending;
  }
  UpdateUnconfirmed(target);
}

void TargetDirectory::OnOwnName(EdgeTarget& target) {
  target.name_check = NameCheck::kConfirmed;
  UpdateUnconfirmed(target);
}

void TargetDirectory::OnAnswer(EdgeTarget& target, TimePoint at) {
  target.claim.seen = std::max(target.claim.seen, at);
  if (target.is_contested) UpdateClaimsAt(target.record.address);
}

void TargetDirectory::OnOtherAnswer(EdgeTarget& target, TargetKey answered_by,
                                    TimePoint begun) {
  target.claim.denied = std::max(target.claim.denied, begun);
  EdgeTarget* const other = Find(answered_by);
  if (other != nullptr && other->record.address == target.record.address) {
    other->claim.seen = std::max(other->claim.seen, begun);
  }
  UpdateClaimsAt(target.record.address);
}

void TargetDirectory::ForgetAnswers() {
  for (auto& [key, target] : targets_) {
    target.claim.seen = {};
    target.claim.denied = {};
  }
  UpdateAllClaims();
}

void TargetDirectory::OnServicesConfigured() { UpdateAllClaims(); }

void TargetDirectory::UpdateAllClaims() {
  for (auto& [key, target] : targets_) UpdateClaimsAt(target.record.address);
}

}  // namespace sapphirestream
