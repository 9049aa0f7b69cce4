// Targets, routes and evacuations. edge_view_store.cc handles what the readers
// report about the store.
#include "sapphirestream/edge_io/edge_view.h"

#include <algorithm>
#include <map>
#include <string>
#include <unordered_set>
#include <utility>

#include "sapphirestream/base/id.h"

namespace sapphirestream {
namespace {

// What an entry, or the removal of one, says about its target.
std::string_view OfferedState(const CollectionItem<TargetRecord>& item) {
  if (!item.record) return "removed";
  return item.record->draining ? "draining" : "ready";
}

}  // namespace

EdgeView::EdgeView(RouteTable& routes, TargetDirectory& targets,
                   EdgeLog& flow_log, EventLog& log, const Clock& clock,
                   CounterSet& counters, KeyOf key_of, Callbacks callbacks)
    : routes_(routes),
      targets_(targets),
      flow_log_(flow_log),
      log_(log),
      clock_(clock),
      key_of_(key_of),
      callbacks_(std::move(callbacks)),
      lost_(counters.Emplace("store_lost_total")),
      refused_(counters.Emplace("store_refusals_total")),
      malformed_(counters.Emplace("target_entries_malformed_total")),
      unusable_replies_(counters.Emplace("store_replies_unusable_total")),
      config_version_(counters.Emplace("config_version")),
      listed_(counters.Emplace("targets_listed")),
      era_(counters.Emplace("store_era")),
      era_changes_(counters.Emplace("store_era_changes_total")),
      outdated_replies_(counters.Emplace("store_outdated_replies_total")),
      ignored_entries_(counters.Emplace("target_entries_ignored_total")),
      outdated_configs_(counters.Emplace("configs_outdated_total")),
      unusable_configs_(counters.Emplace("configs_unusable_total")),
      evacuated_domains_(counters.Emplace("domains_evacuated")),
      evacuations_(targets),
      targets_age_("targets", log, counters),
      routes_age_("routes", log, counters),
      evacuations_age_(kEvacuations, log, counters) {}

void EdgeView::ApplySnapshot(
    const std::vector<CollectionItem<TargetRecord>>& items,
    StoreRevision revision) {
  if (has_targets_) ReportList("targets", items.size(), revision);
  const bool is_first_of_era = IsFirstListOf(revision.era);
  if (is_first_of_era) recovered_at_ = clock_.Now();
  targets_era_ = revision.era;
  std::unordered_set<TargetKey> seen;
  for (const auto& item : items) {
    ApplyTarget(item, /*propagated=*/!has_targets_);
    if (const auto key = key_of_(item.name)) seen.insert(*key);
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

void EdgeView::ApplySnapshot(
    const std::vector<CollectionItem<RouteConfig>>& items,
    StoreRevision revision) {
  if (routes_.version() != 0) {
    ReportList("routes", items.size(), revision);
  } else if (revision.era != kUnknownEra) {
    AwaitRewrite();
  }
  ApplyChanges(items);
}

void EdgeView::ApplyChanges(
    const std::vector<CollectionItem<TargetRecord>>& items) {
  DetectMassExpiry(static_cast<std::size_t>(
      std::count_if(items.begin(), items.end(),
                    [this](const auto& item) { return RemovesTarget(item); })));
  for (const auto& item : items) ApplyTarget(item, /*propagated=*/false);
  listed_.Set(targets_.listed());
}

void EdgeView::ApplyChanges(
    const std::vector<CollectionItem<RouteConfig>>& items) {
  for (const auto& item : items) {
    if (item.record) {
      ApplyConfig(item);
    } else if (!item.deleted) {
      ReportUnusableConfig(item);
    }
  }
}

void EdgeView::ApplySnapshot(
    const std::vector<CollectionItem<Evacuation>>& items,
    StoreRevision revision) {
  if (has_evacuations_) ReportList(kEvacuations, items.size(), revision);
  has_evacuations_ = true;
  // A reader that was started anew does not report that the store is back.
  evacuations_lost_at_.reset();
  std::map<std::string, StoreRevision> entries;
  for (const auto& item : items) {
    if (!item.name.empty()) entries.emplace(item.name, item.revision);
  }
  ReportEvacuations(evacuations_.Replace(entries, revision, clock_.Now()));
}

void EdgeView::ApplyChanges(
    const std::vector<CollectionItem<Evacuation>>& items) {
  for (const auto& item : items) {
    // The name alone counts: an entry that cannot be decoded is in force.
    if (item.name.empty()) continue;
    ReportEvacuations(evacuations_.Set(item.name, !item.deleted, item.revision,
                                       clock_.Now()));
  }
}

void EdgeView::ForgetRevisions() noexcept {
  targets_.ForgetRevisions();
  evacuations_.ForgetRevisions();
}

bool EdgeView::AreEvacuationsUnconfirmed() const noexcept {
  return evacuations_lost_at_ &&
         clock_.Now() - *evacuations_lost_at_ >= kMinUnconfirmedTime;
}

void EdgeView::ExpireEvacuations() {
  ReportEvacuations(evacuations_.Expire(evacuations_age_.complete_until()));
}

void EdgeView::ReportEvacuations(const Evacuations::Changes& changes) {
  for (const auto& [domain, evacuated] : changes) {
    log_.Write(LogLevel::kInfo,
               evacuated ? "domain_evacuated" : "domain_restored",
               {{"domain", PrintableName(domain)}});
  }
  evacuated_domains_.Set(evacuations_.size());
}

void EdgeView::ApplyConfig(const ConfigItem& item) {
  const RouteConfig& config = *item.record;
  const std::uint64_t before = routes_.version();
  if (!routes_.Apply(config)) {
    if (config.version == before) return;
    outdated_configs_.Add();
    log_.Write(LogLevel::kWarn, "config_outdated",
               {{"version", before},
                {"offered", config.version},
                {"revision", item.revision.number},
                {"era", Value(item.revision.era)}});
    return;
  }
  config_entry_ = item.name;
  has_all_routes_ = config.ignored_routes == 0;
  targets_.OnServicesConfigured();
  config_version_.Set(routes_.version());
  log_.Write(LogLevel::kInfo, "config_applied",
             {{"version", routes_.version()},
              {"before", before},
              {"routes", routes_.size()},
              {"ignored", config.ignored_routes},
              {"revision", item.revision.number},
              {"era", Value(item.revision.era)}});
}

bool EdgeView::AreRoutesConfirmable() const noexcept {
  return has_all_routes_ && clock_.Now() >= routes_rewritten_by_;
}

void EdgeView::AwaitRewrite() noexcept {
  routes_rewritten_by_ = clock_.Now() + TargetDirectory::kReregistrationGrace;
}

void EdgeView::ReportUnusableConfig(const ConfigItem& item) {
  // Entries of another name are not the operator's.
  if (item.name == config_entry_) has_all_routes_ = false;
  if (!unusable_config_entries_.Insert(item.name, item.revision)) return;
  unusable_configs_.Add();
  log_.Write(LogLevel::kWarn, "config_unusable",
             {{"entry", PrintableName(item.name)},
              {"revision", item.revision.number},
              {"era", Value(item.revision.era)}});
}

void EdgeView::SetCompleteUntil(TimePoint targets, TimePoint routes,
                                TimePoint evacuations) noexcept {
  targets_age_.SetCompleteUntil(targets);
  routes_age_.SetCompleteUntil(routes);
  if (has_all_routes_ && routes >= routes_rewritten_by_) {
    routes_confirmed_until_ = std::max(routes_confirmed_until_, routes);
  }
  evacuations_age_.SetCompleteUntil(evacuations);
  flow_log_.SetTargetsCompleteUntil(targets_age_.complete_until());
}

void EdgeView::Invalidate() noexcept { invalidated_at_ = clock_.Now(); }

bool EdgeView::is_outdated() const noexcept {
  TimePoint complete_until =
      std::min(targets_age_.complete_until(), routes_age_.complete_until());
  if (follows_evacuations_) {
    complete_until =
        std::min(complete_until, evacuations_age_.complete_until());
  }
  return complete_until < invalidated_at_ &&
         clock_.Now() - invalidated_at_ < kMaxOutdatedTime;
}

bool EdgeView::RemovesTarget(const CollectionItem<TargetRecord>& item) {
  const auto key = key_of_(item.name);
  const EdgeTarget* const target = key ? targets_.Find(*key) : nullptr;
  return !item.record && target != nullptr && !target->record.draining &&
         target->listing == TargetPresence::kListed;
}

void EdgeView::DetectMassExpiry(std::size_t vanished) {
  const std::size_t listed = targets_.listed();
  if (vanished < kMinExpired || vanished * kExpiryDivisor < listed) return;
  recovered_at_ = clock_.Now();
  log_.Write(LogLevel::kWarn, "targets_lapsed",
             {{"vanished", vanished}, {"listed", listed}});
}

void EdgeView::ApplyTarget(const CollectionItem<TargetRecord>& item,
                           bool propagated) {
  const auto key = key_of_(item.name);
  if (!item.record) {
    if (!item.deleted) ReportMalformed(item);
    if (key) EraseTarget(*key, item);
    return;
  }
  const TargetRecord& record = *item.record;
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
  const bool was_unavailable = StoreRecentlyRecovered();
  const StoreRevision held = HeldRevision(key);
  const EntryOutcome outcome =
      targets_.Erase(key, removal.revision, was_unavailable, clock_.Now());
  if (outcome != EntryOutcome::kApplied) {
    ReportIgnored(outcome, key, held, removal);
    return;
  }
  log_.Write(LogLevel::kInfo, "target_unlisted",
             {{"target", ToString(key)},
              {"presence", Name(targets_.Find(key)->listing)},
              {"store_was_away", was_unavailable ? 1 : 0},
              {"revision", removal.revision.number},
              {"era", Value(removal.revision.era)}});
}

StoreRevision EdgeView::HeldRevision(TargetKey key) {
  const EdgeTarget* const target = targets_.Find(key);
  return target == nullptr ? StoreRevision{} : target->revision;
}

void EdgeView::ReportIgnored(EntryOutcome outcome, TargetKey key,
                             StoreRevision held, const TargetItem& offered) {
  if (outcome == EntryOutcome::kUnchanged) return;
  const EdgeTarget& target = *targets_.Find(key);
  // Lists repeat entries; only one that says something else is worth a line.
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

bool EdgeView::StoreRecentlyRecovered() const noexcept {
  return recovered_at_ != TimePoint{} &&
         clock_.Now() - recovered_at_ < TargetDirectory::kReregistrationGrace;
}

}  // namespace sapphirestream
