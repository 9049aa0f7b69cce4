// Schedules the effects and results of store calls in virtual time.
#include "testing/fake_store.h"

#include <algorithm>
#include <memory>
#include <set>
#include <string>
#include <utility>

namespace sapphirestream::testing {

Duration FakeStore::Latency() {
  if (random_ == nullptr) return latency_;
  return latency_ / 2 +
         Duration(static_cast<Duration::rep>(
             random_->Unit() * static_cast<double>(latency_.count())));
}

StoreResult<StoredObject> FakeStore::Read(const std::string& name) const {
  if (outage_) return {ErrorKind::kStoreUnavailable, {}};
  const auto it = objects_.find(name);
  if (it == objects_.end()) return {ErrorKind::kNotFound, {{era_, 0}, {}}};
  return {ErrorKind::kNone, it->second};
}

StoreResult<ObjectVersion> FakeStore::Write(const std::string& name,
                                            ObjectVersion expected,
                                            const std::string& value) {
  if (outage_) return {ErrorKind::kStoreUnavailable, {}};
  const auto it = objects_.find(name);
  const ObjectVersion current =
      it == objects_.end() ? kMustNotExist : it->second.version;
  if (current != expected) return {ErrorKind::kVersionConflict, {}};
  Overwrite(name, value);
  return {ErrorKind::kNone, objects_.at(name).version};
}

void FakeStore::Overwrite(const std::string& name, std::string value) {
  objects_[name] = {ObjectVersion{era_, ++last_version_}, std::move(value)};
  NotifyWatchers(name);
}

void FakeStore::Restore(std::map<std::string, StoredObject> copy) {
  era_ = StoreEra{Value(era_) + 1};
  last_version_ = 0;
  objects_ = std::move(copy);
  for (auto& [name, object] : objects_) {
    last_version_ = std::max(last_version_, object.version.number);
    object.version.era = era_;
  }
  std::set<std::string> watched;
  for (const Watcher& watcher : watchers_) watched.insert(watcher.name);
  for (const std::string& name : watched) NotifyWatchers(name);
}

void FakeStore::Get(const std::string& name, Duration deadline,
                    GetCallback done) {
  ++calls_.gets;
  const Duration latency = Latency();
  if (latency > deadline) {
    time_.After(deadline, [done = std::move(done)] {
      done({ErrorKind::kTimedOut, {}});
    });
    return;
  }
  time_.After(latency / 2, [this, name, latency, done = std::move(done)] {
    time_.After(latency / 2, [result = Read(name), done] { done(result); });
  });
}

void FakeStore::Watch(const std::string& name, ObjectVersion known,
                      Duration deadline, GetCallback done) {
  ++calls_.watches;
  if (watch_mode_ == WatchMode::kSilent) return;
  time_.After(Latency(), [this, deadline,
                          watcher = Watcher{name, known, std::move(done),
                                            kNoTimer}]() mutable {
    StartWatch(std::move(watcher), deadline);
  });
}

void FakeStore::StartWatch(Watcher watcher, Duration deadline) {
  if (outage_ || watch_mode_ == WatchMode::kBroken) {
    watcher.done({ErrorKind::kStoreUnavailable, {}});
    return;
  }
  if (watch_mode_ == WatchMode::kImmediateTimeout) {
    watcher.done({ErrorKind::kTimedOut, {}});
    return;
  }
  const auto result = Read(watcher.name);
  if (result.error != ErrorKind::kNone ||
      result.value.version != watcher.known) {
    watcher.done(result);
    return;
  }
  watchers_.push_back(std::move(watcher));
  const auto it = std::prev(watchers_.end());
  it->timer = time_.After(deadline, [this, it] {
    const GetCallback callback = std::move(it->done);
    watchers_.erase(it);
    callback({ErrorKind::kTimedOut, {}});
  });
}

void FakeStore::NotifyWatchers(const std::string& name) {
  // Silent watches receive no notification.
  if (watch_mode_ == WatchMode::kSilent) return;
  for (auto it = watchers_.begin(); it != watchers_.end();) {
    if (it->name != name) {
      ++it;
      continue;
    }
    time_.Cancel(it->timer);
    time_.After(Latency() / 2,
                [result = Read(name), done = it->done] { done(result); });
    it = watchers_.erase(it);
  }
}

std::optional<LostWrite> FakeStore::TakeLostWrite(const std::string& name) {
  for (auto it = lost_writes_.begin(); it != lost_writes_.end(); ++it) {
    if (!name.starts_with(it->first)) continue;
    const LostWrite kind = it->second;
    lost_writes_.erase(it);
    return kind;
  }
  return std::nullopt;
}

void FakeStore::Put(const std::string& name, ObjectVersion expected,
                    std::string value, Duration deadline, PutCallback done) {
  ++calls_.puts;
  const Duration latency = Latency();
  const auto lost_write = TakeLostWrite(name);
  if (lost_write || latency > deadline) {
    const LostWrite kind = lost_write.value_or(LostWrite::kTakesEffect);
    const Duration response_time = std::min(latency, deadline);
    const Duration effect = kind == LostWrite::kTakesEffectLate
                                ? response_time + kLateEffectDelay
                                : response_time / 2;
    if (kind != LostWrite::kHasNoEffect) {
      time_.After(effect, [this, name, expected, value] {
        (void)Write(name, expected, value);
      });
    }
    time_.After(response_time, [done = std::move(done)] {
      done({ErrorKind::kOutcomeUnknown, {}});
    });
    return;
  }
  time_.After(latency / 2, [this, name, expected, latency,
                            value = std::move(value), done = std::move(done)] {
    time_.After(latency / 2, [result = Write(name, expected, value), done] {
      done(result);
    });
  });
}

void FakeStore::ListInstances(Duration deadline, ListCallback done) {
  ++calls_.lists;
  const Duration latency = Latency();
  time_.After(std::min(latency, deadline),
              [this, late = latency > deadline, done = std::move(done)] {
                if (late) {
                  done({ErrorKind::kTimedOut, {}});
                } else if (outage_) {
                  done({ErrorKind::kStoreUnavailable, {}});
                } else {
                  done({ErrorKind::kNone, instances_});
                }
              });
}

}  // namespace sapphirestream::testing
