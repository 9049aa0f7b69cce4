// Versioned objects with conditional writes and watches.
#include "testing/standins/object_store.h"

#include <utility>

namespace sapphirestream::standins {

const VersionedValue* VersionedStore::Find(const std::string& name) const {
  const auto it = objects_.find(name);
  return it == objects_.end() ? nullptr : &it->second;
}

std::optional<std::uint64_t> VersionedStore::Write(const std::string& name,
                                                   std::uint64_t expected,
                                                   std::string value) {
  const VersionedValue* const old = Find(name);
  if ((old == nullptr ? 0 : old->version) != expected) return std::nullopt;
  if (old == nullptr && objects_.size() >= kMaxObjects) return std::nullopt;
  VersionedValue& object = objects_[name];
  object.version = expected + 1;
  object.value = std::move(value);
  NotifyWatchers(name, object);
  return expected + 1;
}

void VersionedStore::NotifyWatchers(const std::string& name,
                                    const VersionedValue& object) {
  // Removes the list before calling the watchers, since they may register
  // again.
  if (const auto it = watchers_.find(name); it != watchers_.end()) {
    const auto waiting = std::move(it->second);
    watchers_.erase(it);
    for (const auto& [number, watcher] : waiting) watcher(object);
  }
}

void VersionedStore::Restore(
    std::unordered_map<std::string, VersionedValue> copy) {
  objects_ = std::move(copy);
  for (const auto& [name, object] : objects_) NotifyWatchers(name, object);
}

std::uint64_t VersionedStore::Watch(const std::string& name, Watcher watcher) {
  const std::uint64_t number = next_watch_++;
  watchers_[name].emplace(number, std::move(watcher));
  return number;
}

bool VersionedStore::CancelWatch(const std::string& name,
                                 std::uint64_t number) {
  const auto it = watchers_.find(name);
  return it != watchers_.end() && it->second.erase(number) != 0;
}

}  // namespace sapphirestream::standins
