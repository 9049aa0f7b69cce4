#include "sapphirestream/edge_io/spare_entries.h"

#include <algorithm>
#include <string>
#include <utility>

namespace sapphirestream {

bool SpareEntries::Put(TargetKey target, const Item& item) {
  std::vector<Item>& items = items_[target];
  const auto it =
      std::find_if(items.begin(), items.end(),
                   [&](const Item& kept) { return kept.name == item.name; });
  const bool is_new = it == items.end();
  if (!item.record) {
    if (!is_new) items.erase(it);
    if (items.empty()) items_.erase(target);
    return false;
  }
  if (!is_new) {
    *it = item;
  } else if (items.size() < kMaxPerTarget) {
    items.push_back(item);
  }
  return is_new;
}

std::optional<SpareEntries::Item> SpareEntries::Take(TargetKey target,
                                                     std::string_view name) {
  const auto it = items_.find(target);
  if (it == items_.end()) return std::nullopt;
  std::vector<Item>& items = it->second;
  const auto found =
      std::find_if(items.begin(), items.end(),
                   [name](const Item& item) { return item.name == name; });
  if (found == items.end()) return std::nullopt;
  Item item = std::move(*found);
  items.erase(found);
  if (items.empty()) items_.erase(it);
  return item;
}

std::optional<SpareEntries::Item> SpareEntries::TakeFirst(TargetKey target) {
  const auto it = items_.find(target);
  if (it == items_.end()) return std::nullopt;
  return Take(target, std::string(it->second.front().name));
}

std::vector<TargetKey> SpareEntries::targets() const {
  std::vector<TargetKey> targets;
  for (const auto& [target, items] : items_) targets.push_back(target);
  return targets;
}

}  // namespace sapphirestream
