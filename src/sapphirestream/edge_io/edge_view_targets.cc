// Entries of targets.
#include <algorithm>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_set>
#include <utility>

#include "sapphirestream/base/id.h"
#include "sapphirestream/edge_io/edge_view.h"

namespace sapphirestream {
namespace {

// What an entry, or the removal of one, says about its target.
std::string_view OfferedState(const CollectionItem<TargetRecord>& item) {
  if (!item.record) return "removed";
  return item.record->draining ? "draining" : "ready";
}

}  // namespace

void EdgeView::ApplySnapshot(
    const std::vector<CollectionItem<TargetRecord>>& items,
    StoreRevision revision) {
  if (has_targets_) ReportList("targets", items.size(), revision);
  const bool is_first_of_era = IsFirstListOf(revision.era);
  if (is_first_of_era) {
    store_return_.Set(clock_.Now());
    targets_.OnFirstListOfEra(revision);
  }
  targets_era_ = revision.era;
  spare_entries_.Clear();
  std::unordered_set<TargetKey> seen;
  for (const auto& item : items) {
    ApplyTarget(item, /*propagated=*/!has_targets_);
    const auto key = key_of_(item.name);
    if (key && !HasOtherName(*key, item.name)) seen.insert(*key);
  }
  std::vector<TargetKey> vanished;
  targets_.ForEach([&](const EdgeTarget& target) {
    const bool is_expected =
        target.listing == TargetPresence::kListed ||
        (is_first_of_era && target.listing == TargetPresence::kMissing);
    if (is_expected && !seen.contains(target.record.key)) {
      vanished.push_back(target.record.key);
    }
  });
  DetectMassExpiry(vanished.size());
  for (const TargetKey key : vanished) {
    EraseTarget(
        key, {.name = {}, .revision = revision, .deleted = true, .record = {}});
  }
  listed_.Set(targets_.listed());
  if (!std::exchange(has_targets_, true)) {
    era_.Set(Value(revision.era));
    log_.Write(LogLevel::kInfo, "targets_loaded",
               {{"targets", targets_.listed()},
                {"revision", revision.number},
                {"era", Value(revision.era)}});
  }
}

void EdgeView::ApplyChanges(
    const std::vector<CollectionItem<TargetRecord>>& items) {
  DetectMassExpiry(static_cast<std::size_t>(
      std::count_if(items.begin(), items.end(),
                    [this](const auto& item) { return RemovesTarget(item); })));
  for (const auto& item : items) ApplyTarget(item, /*propagated=*/false);
  listed_.Set(targets_.listed());
}

bool EdgeView::RemovesTarget(const CollectionItem<TargetRecord>& item) {
  const auto key = key_of_(item.name);
  const EdgeTarget* const target = key ? targets_.Find(*key) : nullptr;
  if (target != nullptr && target->record.name != item.name) return false;
  return !item.record && target != nullptr && !target->record.draining &&
         target->listing == TargetPresence::kListed;
}

void EdgeView::DetectMassExpiry(std::size_t vanished) {
  const std::size_t listed = targets_.listed();
  if (vanished < kMinExpired || vanished * kExpiryDivisor < listed) return;
  store_return_.Set(clock_.Now());
  log_.Write(LogLevel::kWarn, "targets_lapsed",
             {{"vanished", vanished}, {"listed", listed}});
}

void EdgeView::ApplyTarget(const CollectionItem<TargetRecord>& item,
                           bool propagated) {
  const auto key = key_of_(item.name);
  if (!item.record && !item.deleted) ReportMalformed(item);
  if (key && HasOtherName(*key, item.name)) return KeepSpare(*key, item);
  if (!item.record) {
    if (key) EraseTarget(*key, item);
    return;
  }
  TargetRecord record = *item.record;
  record.name = item.name;
  const StoreRevision held = HeldRevision(record.key);
  const EntryOutcome outcome =
      targets_.Upsert(record, item.revision, propagated, clock_.Now());
  if (outcome != EntryOutcome::kApplied) {
    ReportIgnored(outcome, record.key, held, item);
    return;
  }
  // A line for each target of the first list would fill the log buffer.
  log_.Write(has_targets_ ? LogLevel::kInfo : LogLevel::kDebug, "target_listed",
             {{"target", ToString(record.key)},
              {"service", record.service},
              {"address", ToString(record.address)},
              {"domain", record.domain},
              {"draining", record.draining ? 1 : 0},
              {"revision", item.revision.number},
              {"era", Value(item.revision.era)}});
}

void EdgeView::ReportMalformed(const TargetItem& item) {
  if (!malformed_targets_.Insert(item.name, item.revision)) return;
  malformed_.Add();
  log_.Write(LogLevel::kWarn, "target_entry_malformed",
             {{"entry", PrintableName(item.name)},
              {"revision", item.revision.number},
              {"era", Value(item.revision.era)}});
}

void EdgeView::EraseTarget(TargetKey key, const TargetItem& removal) {
  const std::optional<TimePoint> returned_at = UnexplainedReturn();
  const StoreRevision held = HeldRevision(key);
  const EntryOutcome outcome =
      targets_.Erase(key, removal.revision, returned_at, clock_.Now());
  if (outcome != EntryOutcome::kApplied) {
    ReportIgnored(outcome, key, held, removal);
    return;
  }
  log_.Write(LogLevel::kInfo, "target_unlisted",
             {{"target", ToString(key)},
              {"presence", Name(targets_.Find(key)->listing)},
              {"store_was_away", returned_at ? 1 : 0},
              {"revision", removal.revision.number},
              {"era", Value(removal.revision.era)}});
}

bool EdgeView::HasOtherName(TargetKey key, std::string_view name) {
  const EdgeTarget* const target = targets_.Find(key);
  return target != nullptr && target->record.name != name;
}

void EdgeView::KeepSpare(TargetKey key, const TargetItem& item) {
  if (!spare_entries_.Put(key, item)) return;
  targets_.OnOtherName(*targets_.Find(key));
  ignored_entries_.Add();
  log_.Write(LogLevel::kWarn, "target_entry_spare",
             {{"entry", PrintableName(item.name)},
              {"target", ToString(key)},
              {"used", PrintableName(targets_.Find(key)->record.name)},
              {"revision", item.revision.number},
              {"era", Value(item.revision.era)}});
}

void EdgeView::ApplySpare(TargetKey key, const TargetItem& spare) {
  // Its revision may be lower than that of the entry before.
  targets_.Remove(key);
  ApplyTarget(spare, /*propagated=*/false);
}

void EdgeView::OnTargetProbed(TargetKey key, std::string_view answered_name) {
  const EdgeTarget* const target = targets_.Find(key);
  if (target == nullptr || !spare_entries_.contains(key)) return;
  if (auto spare = spare_entries_.Take(key, answered_name)) {
    return ExchangeEntry(*target, *spare);
  }
  const bool is_absent = target->claim.IsDenied() ||
                         target->health.state() == Reachability::kUnreachable;
  if (is_absent) ExchangeEntry(*target, *spare_entries_.TakeFirst(key));
}

void EdgeView::ExchangeEntry(const EdgeTarget& target,
                             const TargetItem& spare) {
  const TargetItem former{.name = target.record.name,
                          .revision = target.revision,
                          .deleted = false,
                          .record = target.record};
  const TargetKey key = target.record.key;
  ApplySpare(key, spare);
  KeepSpare(key, former);
}

void EdgeView::UseSpareEntries() {
  // Open flows of a target whose entry was removed still go to its address.
  const auto is_used = [](const EdgeTarget& target) {
    return target.listing != TargetPresence::kGone ||
           target.name_check == NameCheck::kConfirmed ||
           target.claim.seen != TimePoint{};
  };
  for (const TargetKey key : spare_entries_.targets()) {
    const EdgeTarget* const target = targets_.Find(key);
    if (target != nullptr && is_used(*target)) continue;
    ApplySpare(key, *spare_entries_.TakeFirst(key));
  }
}

StoreRevision EdgeView::HeldRevision(TargetKey key) {
  const EdgeTarget* const target = targets_.Find(key);
  return target == nullptr ? StoreRevision{} : target->revision;
}

void EdgeView::ReportIgnored(EntryOutcome outcome, TargetKey key,
                             StoreRevision held, const TargetItem& offered) {
  if (outcome == EntryOutcome::kUnchanged) return;
  const EdgeTarget& target = *targets_.Find(key);
  // Lists repeat entries; only one that says something else is reported.
  const bool is_same =
      offered.record &&
      offered.record->incarnation == target.record.incarnation &&
      offered.record->draining == target.record.draining &&
      target.listing == TargetPresence::kListed;
  if (is_same) return;
  ignored_entries_.Add();
  log_.Write(LogLevel::kWarn, "target_entry_ignored",
             {{"target", ToString(key)},
              {"reason", Name(outcome)},
              {"presence", Name(target.presence)},
              {"draining", target.record.draining ? 1 : 0},
              {"revision", held.number},
              {"era", Value(held.era)},
              {"offered", OfferedState(offered)},
              {"offered_revision", offered.revision.number},
              {"offered_era", Value(offered.revision.era)}});
}

std::optional<TimePoint> EdgeView::UnexplainedReturn() const noexcept {
  const std::optional<TimePoint> returned_at = store_return_.time();
  const bool is_explained =
      returned_at && targets_age_.complete_until() >=
                         *returned_at + TargetDirectory::kReregistrationGrace;
  return is_explained ? std::nullopt : returned_at;
}

bool EdgeView::is_recovering() const noexcept {
  const std::optional<TimePoint> returned_at = store_return_.time();
  return returned_at &&
         clock_.Now() - *returned_at < TargetDirectory::kReregistrationGrace;
}

}  // namespace sapphirestream
