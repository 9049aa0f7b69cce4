// Entries of targets and their removal, and the look-up of targets.
// target_directory_claims.cc decides which target has an address.
#include "sapphirestream/edge/target_directory.h"

#include <algorithm>
#include <array>

namespace sapphirestream {
namespace {

// How an entry differs from what is known of its target.
struct EntryChange {
  // The target is new, or another process has its key.
  bool restarted = false;
  // The target has written its entry again while it was missing or gone. The
  // copy of a restored store does not show that.
  bool registered_again = false;
  // The entry is the copy of a restored store.
  bool is_copy = false;
  // The same, and the target was gone.
  bool is_copy_of_gone = false;
  bool moved = false;
  bool affects_flows = false;
};

// `target` is default-constructed if it is new.
EntryChange ChangeOf(const EdgeTarget& target, bool is_new, bool is_copy,
                     const TargetRecord& record) {
  const bool was_listed = target.listing == TargetPresence::kListed;
  EntryChange change;
  change.is_copy = is_copy;
  change.restarted = is_new || target.record.incarnation != record.incarnation;
  change.registered_again = !was_listed && !change.is_copy;
  change.is_copy_of_gone =
      change.is_copy && target.listing == TargetPresence::kGone;
  change.moved = target.record.address != record.address;
  change.affects_flows = change.restarted || !was_listed || change.moved ||
                         target.record.draining != record.draining ||
                         target.record.service != record.service;
  return change;
}

// Whether an entry of a restored store is an older copy of what is known.
bool IsSuperseded(const TargetRecord& copy, const EdgeTarget& held) {
  if (copy.incarnation != held.record.incarnation) {
    return copy.incarnation < held.record.incarnation;
  }
  return held.record.draining &&
         (!copy.draining || held.listing == TargetPresence::kGone);
}

}  // namespace

std::string_view Name(TargetPresence presence) noexcept {
  constexpr std::array<std::string_view, 3> names{"listed", "missing", "gone"};
  return names[static_cast<std::size_t>(presence)];
}

std::string_view Name(EntryOutcome outcome) noexcept {
  constexpr std::array<std::string_view, 4> names{"applied", "unchanged",
                                                  "outdated", "old_copy"};
  return names[static_cast<std::size_t>(outcome)];
}

EntryOutcome TargetDirectory::Upsert(const TargetRecord& record,
                                     StoreRevision revision, bool propagated,
                                     TimePoint now) {
  const auto [it, is_new] = targets_.try_emplace(record.key);
  EdgeTarget& target = it->second;
  const bool is_copy = !is_new && IsCopy(target, revision);
  if (!is_new) {
    if (revision == target.revision) return EntryOutcome::kUnchanged;
    if (revision < target.revision) return EntryOutcome::kOutdated;
    if (is_copy && IsSuperseded(record, target)) {
      target.revision = revision;
      return EntryOutcome::kOldCopy;
    }
    RemoveFromIndexes(target);
  }
  const EntryChange change = ChangeOf(target, is_new, is_copy, record);
  const V4Endpoint former_address = target.record.address;
  if (change.restarted || change.registered_again || change.moved) {
    target.health = TargetHealth(now);
  }
  // An entry may be older than what showed that the target is cold.
  const TimePoint cold_until = now + record.cold_remaining;
  if (change.restarted) {
    target.usable_from = propagated ? now : now + kPropagationDelay;
    target.cold_until = cold_until;
  } else {
    if (change.is_copy_of_gone) {
      target.usable_from = now + entry_lifetime_ + kPropagationDelay;
    }
    target.cold_until = std::max(target.cold_until, cold_until);
  }
  SetEntry(target, record, revision);
  AddToIndexes(target);
  UpdateClaim(target, revision, change.restarted || change.moved,
              change.is_copy, now);
  if (change.moved) UpdateClaimsAt(former_address);
  UpdateClaimsAt(record.address);
  return change.affects_flows ? EntryOutcome::kApplied
                              : EntryOutcome::kUnchanged;
}

void TargetDirectory::SetEntry(EdgeTarget& target, const TargetRecord& record,
                               StoreRevision revision) {
  target.record = record;
  target.revision = revision;
  target.service = routes_.Number(record.service);
  target.listing = TargetPresence::kListed;
  target.is_local = record.domain == domain_;
  target.evacuated = IsEvacuated(record.domain);
  const auto cut_off = cut_off_.find(record.domain);
  target.cut_off_until =
      cut_off == cut_off_.end() ? TimePoint{} : cut_off->second;
}

bool TargetDirectory::IsCopy(const EdgeTarget& held,
                             StoreRevision revision) const noexcept {
  const bool is_later =
      first_list_.era == revision.era && first_list_.number < revision.number;
  return held.revision.era < revision.era && !is_later;
}

bool TargetDirectory::SetEvacuated(const std::string& domain, bool evacuated,
                                   TimePoint now) {
  const bool changed = evacuated ? evacuated_.insert(domain).second
                                 : evacuated_.erase(domain) > 0;
  if (!changed) return false;
  for (auto& [key, target] : targets_) {
    if (target.record.domain != domain) continue;
    target.evacuated = evacuated;
    if (!evacuated) SetCold(target, now);
  }
  return true;
}

void TargetDirectory::SetCutOff(const std::string& domain, TimePoint until) {
  const auto it = cut_off_.find(domain);
  const TimePoint before = it == cut_off_.end() ? TimePoint{} : it->second;
  if (until == before) return;
  cut_off_.insert_or_assign(domain, until);
  for (auto& [key, target] : targets_) {
    if (target.record.domain == domain) target.cut_off_until = until;
  }
}

void TargetDirectory::SetCold(EdgeTarget& target, TimePoint now) const {
  target.cold_until = std::max(target.cold_until,
                               now + routes_.SpecOf(target.service).cold_start);
}

EntryOutcome TargetDirectory::Erase(TargetKey key, StoreRevision revision,
                                    std::optional<TimePoint> store_returned_at,
                                    TimePoint now) {
  EdgeTarget* target = Find(key);
  if (target == nullptr) return EntryOutcome::kUnchanged;
  if (revision < target->revision) return EntryOutcome::kOutdated;
  const bool is_restored = target->revision.era < revision.era;
  target->revision = revision;
  if (is_restored && store_returned_at &&
      target->listing == TargetPresence::kMissing) {
    target->returns_by = *store_returned_at + kReregistrationGrace;
  }
  if (target->listing != TargetPresence::kListed) {
    return EntryOutcome::kUnchanged;
  }
  if (store_returned_at && !target->record.draining) {
    target->listing = TargetPresence::kMissing;
    target->returns_by = *store_returned_at + kReregistrationGrace;
  } else {
    target->listing = TargetPresence::kGone;
  }
  target->unlisted_at = now;
  UpdateClaimsAt(target->record.address);
  return EntryOutcome::kApplied;
}

void TargetDirectory::OnStoreReturned(TimePoint returned_at) noexcept {
  for (auto& [key, target] : targets_) {
    target.returns_by =
        std::max(target.returns_by, returned_at + kReregistrationGrace);
  }
}

void TargetDirectory::Remove(TargetKey key) {
  const auto it = targets_.find(key);
  if (it == targets_.end()) return;
  const V4Endpoint address = it->second.record.address;
  RemoveFromIndexes(it->second);
  unconfirmed_.erase(key);
  targets_.erase(it);
  UpdateClaimsAt(address);
}

void TargetDirectory::ForgetRevisions() noexcept {
  for (auto& [key, target] : targets_) {
    target.revision = {};
    target.claim.written = {};
  }
}

void TargetDirectory::Expire(TimePoint now, TimePoint confirmed) {
  for (auto it = targets_.begin(); it != targets_.end();) {
    EdgeTarget& target = it->second;
    if (target.listing == TargetPresence::kMissing &&
        confirmed >= target.returns_by) {
      target.listing = TargetPresence::kGone;
      target.unlisted_at = now;
      UpdateClaimsAt(target.record.address);
    }
    if (target.listing == TargetPresence::kGone &&
        now - target.unlisted_at >= kGoneRetention) {
      RemoveFromIndexes(target);
      it = targets_.erase(it);
    } else {
      ++it;
    }
  }
}

bool TargetDirectory::IsReadDue(TimePoint now) const noexcept {
  return std::any_of(targets_.begin(), targets_.end(), [now](const auto& it) {
    const EdgeTarget& target = it.second;
    return target.listing == TargetPresence::kMissing &&
           now >= target.returns_by;
  });
}

EdgeTarget* TargetDirectory::Find(TargetKey key) noexcept {
  const auto it = targets_.find(key);
  return it == targets_.end() ? nullptr : &it->second;
}

EdgeTarget* TargetDirectory::FindByToken(FlowToken token, const Route& route) {
  EdgeTarget* found = nullptr;
  const auto [begin, end] = by_token_.equal_range(token);
  for (auto it = begin; it != end; ++it) {
    EdgeTarget* candidate = it->second;
    if (!route.Allows(candidate->service)) continue;
    // If two targets share a token, flows that use it belong to the older one:
    // they were opened before the newer one was known.
    if (found == nullptr ||
        candidate->record.incarnation < found->record.incarnation) {
      found = candidate;
    }
  }
  return found;
}

FlowToken TargetDirectory::TokenOf(TargetKey key) const noexcept {
  const FlowToken first = MakeToken(key, 0);
  return by_token_.count(first) > 1 ? MakeToken(key, 1) : first;
}

const std::vector<EdgeTarget*>& TargetDirectory::OfService(
    ServiceNumber service) const noexcept {
  static const std::vector<EdgeTarget*> none;
  const auto it = by_service_.find(service);
  return it == by_service_.end() ? none : it->second;
}

std::size_t TargetDirectory::listed() const noexcept {
  return static_cast<std::size_t>(
      std::count_if(targets_.begin(), targets_.end(), [](const auto& entry) {
        return entry.second.listing == TargetPresence::kListed;
      }));
}

void TargetDirectory::AddToIndexes(EdgeTarget& target) {
  for (unsigned variant = 0; variant < kTokensPerTarget; ++variant) {
    by_token_.emplace(MakeToken(target.record.key, variant), &target);
  }
  by_service_[target.service].push_back(&target);
  by_address_.emplace(target.record.address, &target);
}

void TargetDirectory::RemoveFromIndexes(EdgeTarget& target) {
  const auto erase_from = [&target](auto& index, const auto& key) {
    const auto [begin, end] = index.equal_range(key);
    const auto it = std::find_if(begin, end, [&target](const auto& entry) {
      return entry.second == &target;
    });
    if (it != end) index.erase(it);
  };
  for (unsigned variant = 0; variant < kTokensPerTarget; ++variant) {
    erase_from(by_token_, MakeToken(target.record.key, variant));
  }
  erase_from(by_address_, target.record.address);
  std::erase(by_service_[target.service], &target);
}

}  // namespace sapphirestream
