#include "sapphirestream/domain/confirmations.h"

#include <algorithm>

namespace sapphirestream {
namespace {

// Batches the counts of several children into one message.
constexpr Duration kMinSendInterval = std::chrono::milliseconds(20);
// Counts may be lost, so they are resent until the version is active everywhere
// or until kRepeatTime has passed: instances that have not confirmed by then
// are dead or unreachable.
constexpr Duration kRepeatInterval = std::chrono::milliseconds(400);
constexpr Duration kRepeatTime = std::chrono::seconds(5);
constexpr std::size_t kMaxLagging = 8;

}  // namespace

void Confirmations::SetTree(const RelayTree& tree) {
  tree_ = tree;
  std::erase_if(children_, [this](const auto& child) {
    return std::find(tree_.children.begin(), tree_.children.end(),
                     child.first) == tree_.children.end();
  });
  std::erase_if(domains_, [this](const auto& domain) {
    return std::find(tree_.other_domains.begin(), tree_.other_domains.end(),
                     domain.first) == tree_.other_domains.end();
  });
  // A new parent has no count for this subtree yet.
  last_sent_ = {};
  is_tree_new_ = true;
}

void Confirmations::SetOwnVersions(ConfigVersion prepared, ConfigVersion active,
                                   TimePoint now) {
  if (prepared != prepared_) prepared_at_ = now;
  prepared_ = prepared;
  active_ = active;
}

ConfigConfirm Confirmations::Count() const {
  ConfigConfirm count{prepared_, domain_, 1, active_ == prepared_ ? 1U : 0U,
                      1,         {}};
  for (const InstanceId child : tree_.children) {
    const auto it = children_.find(child);
    if (it == children_.end() || it->second.version < prepared_) {
      count.live += it == children_.end() ? 1 : it->second.live;
      count.lagging.push_back(child);
      continue;
    }
    const ConfigConfirm& report = it->second;
    count.prepared += report.prepared;
    count.live += report.live;
    if (report.version == prepared_) count.active += report.active;
    count.lagging.insert(count.lagging.end(), report.lagging.begin(),
                         report.lagging.end());
  }
  if (count.lagging.size() > kMaxLagging) count.lagging.resize(kMaxLagging);
  if (tree_.is_root) count.live = static_cast<std::uint32_t>(tree_.live);
  return count;
}

void Confirmations::OnConfirm(InstanceId from, const ConfigConfirm& message,
                              TimePoint now) {
  if (message.domain != domain_) {
    ConfigConfirm& known = domains_[message.domain];
    if (message.version >= known.version) known = message;
  } else if (from == tree_.parent) {
    SetFullyPrepared(message.version);
  } else if (std::find(tree_.children.begin(), tree_.children.end(), from) !=
             tree_.children.end()) {
    ConfigConfirm& known = children_[from];
    if (message.version >= known.version) known = message;
    // The child resends its count because it missed the result.
    const bool is_waiting = message.active < message.live;
    if (is_waiting && message.version <= fully_prepared_) SendResult(from);
  }
  OnTimer(now);
}

void Confirmations::OnTimer(TimePoint now) {
  if (prepared_ == ConfigVersion{} || tree_.live == 0) return;
  if (is_tree_new_) tree_changed_at_ = now;
  is_tree_new_ = false;
  const ConfigConfirm count = Count();
  const bool is_changed = count != last_sent_;
  if (now - last_sent_at_ < kMinSendInterval) return;
  if (tree_.is_root && count.version > fully_prepared_ &&
      IsEveryDomainPrepared(count)) {
    SetFullyPrepared(count.version);
  }
  if (!is_changed) {
    // The receiver ignores the count until it has switched to the new tree.
    const bool is_new_tree = now - tree_changed_at_ <= kRepeatTime;
    if (!is_new_tree && now - prepared_at_ > kRepeatTime) return;
    if (now - last_sent_at_ < kRepeatInterval) return;
    const bool is_settled =
        fully_prepared_ >= prepared_ && count.active >= count.live;
    if (!is_new_tree && is_settled) return;
  }
  last_sent_ = count;
  last_sent_at_ = now;
  SendToParent(count);
  SendToOtherRoots(count);
}

void Confirmations::SendToParent(const ConfigConfirm& count) {
  if (tree_.parent != kNoInstance) sink_.Send(tree_.parent, count);
}

void Confirmations::SendToOtherRoots(const ConfigConfirm& count) {
  if (!tree_.is_root || count.prepared < count.live) return;
  for (const InstanceId root : tree_.other_roots) sink_.Send(root, count);
}

void Confirmations::SendResult(InstanceId child) {
  const auto live = static_cast<std::uint32_t>(tree_.live);
  sink_.Send(child, ConfigConfirm{fully_prepared_, domain_, live, 0, live, {}});
}

void Confirmations::SetFullyPrepared(ConfigVersion version) {
  if (version <= fully_prepared_) return;
  fully_prepared_ = version;
  for (const InstanceId child : tree_.children) SendResult(child);
}

bool Confirmations::IsEveryDomainPrepared(const ConfigConfirm& own) const {
  if (own.prepared < own.live) return false;
  return std::all_of(tree_.other_domains.begin(), tree_.other_domains.end(),
                     [this, &own](DomainId domain) {
                       const auto it = domains_.find(domain);
                       return it != domains_.end() &&
                              it->second.version >= own.version &&
                              it->second.prepared >= it->second.live;
                     });
}

}  // namespace sapphirestream
