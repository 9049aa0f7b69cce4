// Effects and answers of store calls, scheduled in virtual time.
#include "testing/fake_store.h"

#include <memory>
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
  if (it == objects_.end()) return {ErrorKind::kNotFound, {}};
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
  objects_[name] = {ObjectVersion{++last_version_}, std::move(value)};
  Wake(name);
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
    time_.After(latency / 2, [answer = Read(name), done] { done(answer); });
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
  if (watch_mode_ == WatchMode::kHasty) {
    watcher.done({ErrorKind::kTimedOut, {}});
    return;
  }
  const auto answer = Read(watcher.name);
  if (answer.error != ErrorKind::kNone ||
      answer.value.version != watcher.known) {
    watcher.done(answer);
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

void FakeStore::Wake(const std::string& name) {
  // A watch that has fallen silent loses its notification.
  if (watch_mode_ == WatchMode::kSilent) return;
  for (auto it = watchers_.begin(); it != watchers_.end();) {
    if (it->name != name) {
      ++it;
      continue;
    }
    time_.Cancel(it->timer);
    time_.After(Latency() / 2,
                [answer = Read(name), done = it->done] { done(answer); });
    it = watchers_.erase(it);
  }
}

std::optional<LostWrite> FakeStore::TakeLoss(const std::string& name) {
  for (auto it = lost_.begin(); it != lost_.end(); ++it) {
    if (!name.starts_with(it->first)) continue;
    const LostWrite kind = it->second;
    lost_.erase(it);
    return kind;
  }
  return std::nullopt;
}

void FakeStore::Put(const std::string& name, ObjectVersion expected,
                    std::string value, Duration deadline, PutCallback done) {
  ++calls_.puts;
  const Duration latency = Latency();
  const auto loss = TakeLoss(name);
  if (loss || latency > deadline) {
    const LostWrite kind = loss.value_or(LostWrite::kTakesEffect);
    const Duration told = std::min(latency, deadline);
    const Duration effect =
        kind == LostWrite::kTakesEffectLate ? told + kLateEffect : told / 2;
    if (kind != LostWrite::kHasNoEffect) {
      time_.After(effect, [this, name, expected, value] {
        (void)Write(name, expected, value);
      });
    }
    time_.After(told, [done = std::move(done)] {
      done({ErrorKind::kOutcomeUnknown, {}});
    });
    return;
  }
  time_.After(latency / 2, [this, name, expected, latency,
                            value = std::move(value), done = std::move(done)] {
    time_.After(latency / 2, [answer = Write(name, expected, value), done] {
      done(answer);
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
