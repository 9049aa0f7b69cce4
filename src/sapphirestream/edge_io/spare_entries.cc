#include "sapphirestream/edge_io/spare_entries.h"

#include <algorithm>
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

std::optional<SpareEntries::Item> SpareEntries::Take(TargetKey target) {
  const auto it = items_.find(target);
  if (it == items_.end()) return std::nullopt;
  std::vector<Item>& items = it->second;
  Item first = std::move(items.front());
  items.erase(items.begin());
  if (items.empty()) items_.erase(it);
  return first;
}

}  // namespace sapphirestream
