// Routes and evacuations, and the age of the view. edge_view_targets.cc handles
// the entries of targets, edge_view_store.cc what the readers report about the
// store.
#include "sapphirestream/edge_io/edge_view.h"

#include <algorithm>
#include <map>
#include <string>
#include <utility>

#include "sapphirestream/base/id.h"

namespace sapphirestream {
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
      large_changes_(counters.Emplace("store_changes_too_large_total")),
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

}  // namespace sapphirestream
