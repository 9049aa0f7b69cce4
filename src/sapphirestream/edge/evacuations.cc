#include "sapphirestream/edge/evacuations.h"

#include <algorithm>

#include "sapphirestream/edge/target_directory.h"

namespace sapphirestream {

Evacuations::Changes Evacuations::Set(const std::string& domain, bool evacuated,
                                      StoreRevision revision, TimePoint now) {
  Entry& entry = entries_[domain];
  if (revision < entry.revision) return {};
  if (!Update(domain, entry, evacuated, revision, now)) return {};
  return {{domain, evacuated}};
}

Evacuations::Changes Evacuations::Replace(
    const std::map<std::string, StoreRevision>& entries, StoreRevision revision,
    TimePoint now) {
  Changes changes;
  for (const auto& [domain, entry_revision] : entries) {
    for (const Change& change : Set(domain, true, entry_revision, now)) {
      changes.push_back(change);
    }
  }
  for (auto it = entries_.begin(); it != entries_.end();) {
    auto& [domain, entry] = *it;
    if (entries.contains(domain) || revision < entry.revision) {
      ++it;
      continue;
    }
    if (!entry.evacuated) {
      it = entries_.erase(it);
      continue;
    }
    if (entry.revision.era < revision.era) {
      entry.missing_since = now;
      entry.revision = revision;
    } else if (entry.missing_since == TimePoint{}) {
      Update(domain, entry, false, revision, now);
      changes.push_back({domain, false});
    }
    ++it;
  }
  return changes;
}

Evacuations::Changes Evacuations::Expire(TimePoint complete_until) {
  Changes changes;
  for (auto& [domain, entry] : entries_) {
    if (entry.missing_since == TimePoint{} ||
        complete_until - entry.missing_since < kRewriteTime) {
      continue;
    }
    // It had ended when its entry was missing.
    Update(domain, entry, false, entry.revision, entry.missing_since);
    changes.push_back({domain, false});
  }
  return changes;
}

bool Evacuations::IsReadDue(TimePoint now) const {
  return std::any_of(entries_.begin(), entries_.end(), [now](const auto& item) {
    const TimePoint since = item.second.missing_since;
    return since != TimePoint{} && now - since >= kRewriteTime;
  });
}

bool Evacuations::Update(const std::string& domain, Entry& entry,
                         bool evacuated, StoreRevision revision, TimePoint at) {
  entry.revision = revision;
  entry.missing_since = {};
  if (entry.evacuated == evacuated) return false;
  entry.evacuated = evacuated;
  targets_.SetEvacuated(domain, evacuated, at);
  return true;
}

void Evacuations::ForgetRevisions() noexcept {
  for (auto& [domain, entry] : entries_) entry.revision = {};
}

std::size_t Evacuations::size() const noexcept {
  return static_cast<std::size_t>(
      std::count_if(entries_.begin(), entries_.end(),
                    [](const auto& item) { return item.second.evacuated; }));
}

}  // namespace sapphirestream
