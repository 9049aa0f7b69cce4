#include "sapphirestream/domain/config_history.h"

#include <utility>

namespace sapphirestream {
namespace {

// Covers 90 s at 56,000 changes a day; a lagging instance catches up much
// faster than that.
constexpr std::size_t kMaxSteps = 64;
constexpr std::size_t kMaxStepBytes = 1 << 20;

}  // namespace

void ConfigHistory::Prepare(ConfigVersion version, std::string body,
                            std::optional<std::string> delta, TimePoint now) {
  if (Value(version) == 1 && newest_ == ConfigVersion{}) {
    // No version precedes version 1.
    is_complete_ = true;
  } else if (Value(version) != Value(newest_) + 1) {
    is_complete_ = false;
    incomplete_since_ = now;
  }
  body_ = std::make_shared<const std::string>(std::move(body));
  if (delta.has_value() && newest_ != ConfigVersion{}) {
    step_bytes_ += delta->size();
    steps_[newest_] = {newest_, version,
                       std::make_shared<const std::string>(std::move(*delta))};
    while (steps_.size() > kMaxSteps || step_bytes_ > kMaxStepBytes) {
      step_bytes_ -= steps_.begin()->second.delta->size();
      steps_.erase(steps_.begin());
    }
  }
  newest_ = version;
  Entry& entry = entries_[version];
  entry.prepared_at = now;
  entry.body = body_;
  // The first version becomes active at once: there is no older version to
  // steer by until the confirmations arrive.
  if (active_ == ConfigVersion{}) Activate(version, Duration::zero(), now);
}

bool ConfigHistory::Activate(ConfigVersion fully_prepared, Duration wait,
                             TimePoint now) {
  auto chosen = entries_.end();
  for (auto it = entries_.upper_bound(active_); it != entries_.end(); ++it) {
    if (it->first <= fully_prepared || now - it->second.prepared_at >= wait) {
      chosen = it;
    }
  }
  if (chosen == entries_.end()) return false;
  chosen->second.lifecycle.Process(ConfigEvent::kActivated);
  active_ = chosen->first;
  for (auto it = entries_.begin(); it != chosen; ++it) {
    Entry& entry = it->second;
    if (!entry.lifecycle.Process(ConfigEvent::kSuperseded)) continue;
    entry.retained_at = now;
    entry.body = nullptr;
  }
  return true;
}

bool ConfigHistory::DropIdle(TimePoint now) {
  bool has_dropped = false;
  while (!entries_.empty()) {
    Entry& entry = entries_.begin()->second;
    if (entry.lifecycle.state() != ConfigState::kRetained) break;
    if (now - entry.retained_at < retention_) break;
    entry.lifecycle.Process(ConfigEvent::kIdle);
    entries_.erase(entries_.begin());
    has_dropped = true;
  }
  return has_dropped;
}

std::optional<std::vector<ConfigStep>> ConfigHistory::StepsFrom(
    ConfigVersion base) const {
  if (body_ == nullptr) return std::nullopt;
  std::vector<ConfigStep> steps;
  std::size_t bytes = 0;
  while (base < newest_) {
    const auto it = steps_.find(base);
    if (it == steps_.end()) return std::nullopt;
    bytes += it->second.delta->size();
    if (bytes > body_->size() && !steps.empty()) return std::nullopt;
    steps.push_back(it->second);
    base = it->second.version;
  }
  return steps;
}

std::vector<HeldVersion> ConfigHistory::versions() const {
  std::vector<HeldVersion> held;
  held.reserve(entries_.size());
  for (const auto& [version, entry] : entries_) {
    held.push_back(
        {version, entry.lifecycle.state(), entry.prepared_at, entry.body});
  }
  return held;
}

}  // namespace sapphirestream
