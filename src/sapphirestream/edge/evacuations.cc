#include "sapphirestream/edge/evacuations.h"

#include <utility>

#include "sapphirestream/edge/target_directory.h"

namespace sapphirestream {

Evacuations::Changes Evacuations::Set(const std::string& domain, bool evacuated,
                                      TimePoint now) {
  missing_.erase(domain);
  const bool changed =
      evacuated ? domains_.insert(domain).second : domains_.erase(domain) > 0;
  if (!changed) return {};
  targets_.SetEvacuated(domain, evacuated, now);
  return {{domain, evacuated}};
}

Evacuations::Changes Evacuations::Replace(const std::set<std::string>& domains,
                                          bool is_restored, TimePoint now) {
  Changes changes;
  const auto apply = [&](const std::string& domain, bool evacuated) {
    for (Change& change : Set(domain, evacuated, now)) {
      changes.push_back(std::move(change));
    }
  };
  const std::set<std::string> before = domains_;
  for (const std::string& domain : before) {
    if (domains.contains(domain) || missing_.contains(domain)) continue;
    if (is_restored) {
      missing_.emplace(domain, now);
    } else {
      apply(domain, false);
    }
  }
  for (const std::string& domain : domains) apply(domain, true);
  return changes;
}

Evacuations::Changes Evacuations::Expire(TimePoint complete_until,
                                         TimePoint now) {
  Changes changes;
  const std::map<std::string, TimePoint> missing = missing_;
  for (const auto& [domain, since] : missing) {
    if (complete_until - since < kRewriteTime) continue;
    for (Change& change : Set(domain, false, now)) {
      changes.push_back(std::move(change));
    }
  }
  return changes;
}

}  // namespace sapphirestream
