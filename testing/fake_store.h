// In-memory object store in virtual time that simulates the failures of the
// real one.
#ifndef SAPPHIRESTREAM_TESTING_FAKE_STORE_H_
#define SAPPHIRESTREAM_TESTING_FAKE_STORE_H_

#include <cstdint>
#include <list>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "sapphirestream/base/random.h"
#include "sapphirestream/store/object_store.h"
#include "testing/virtual_time.h"

namespace sapphirestream::testing {

enum class WatchMode : std::uint8_t {
  kWorking,
  kBroken,            // fails with kStoreUnavailable after one latency
  kSilent,            // never completes
  kImmediateTimeout,  // completes with kTimedOut after one latency
};

// Effect of a write whose response is lost.
enum class LostWrite : std::uint8_t {
  kTakesEffect,
  kTakesEffectLate,  // kLateEffectDelay after the call has completed
  kHasNoEffect,
};

struct StoreCalls {
  std::uint64_t gets = 0;
  std::uint64_t watches = 0;
  std::uint64_t puts = 0;
  std::uint64_t lists = 0;
  [[nodiscard]] std::uint64_t total() const noexcept {
    return gets + watches + puts + lists;
  }
};

// A call takes effect after half its latency and completes after the full
// latency. If the latency exceeds the deadline, the result is kTimedOut, or
// kOutcomeUnknown for a write, which still takes effect.
class FakeStore final : public ObjectStore {
 public:
  static constexpr Duration kLateEffectDelay = std::chrono::milliseconds(200);

  explicit FakeStore(VirtualTime& time) : time_(time) {}

  void Get(const std::string& name, Duration deadline,
           GetCallback done) override;
  void Watch(const std::string& name, ObjectVersion known, Duration deadline,
             GetCallback done) override;
  void Put(const std::string& name, ObjectVersion expected, std::string value,
           Duration deadline, PutCallback done) override;
  void ListInstances(Duration deadline, ListCallback done) override;

  // During an outage, every call fails with kStoreUnavailable and has no
  // effect.
  void set_outage(bool outage) noexcept { outage_ = outage; }
  void set_latency(Duration latency) noexcept { latency_ = latency; }
  // Draws each latency uniformly from 50% to 150% of the configured latency.
  void set_random(Random* random) noexcept { random_ = random; }
  void set_watch_mode(WatchMode mode) noexcept { watch_mode_ = mode; }
  // Loses the response to the next write to an object whose name starts with
  // `prefix`: the result is kOutcomeUnknown.
  void LoseNextResponse(const std::string& prefix, LostWrite kind) {
    lost_writes_[prefix] = kind;
  }
  // Writes unconditionally and without counting a call, as another client or a
  // restored backup does.
  void Overwrite(const std::string& name, std::string value);
  // Returns a copy of all objects, for Restore().
  [[nodiscard]] std::map<std::string, StoredObject> Copy() const {
    return objects_;
  }
  // Restores a copy in the next era. Versions that were assigned since are
  // assigned again.
  void Restore(std::map<std::string, StoredObject> copy);
  void set_instances(std::vector<ListedInstance> instances) {
    instances_ = std::move(instances);
  }

  [[nodiscard]] const StoreCalls& calls() const noexcept { return calls_; }
  [[nodiscard]] const std::map<std::string, StoredObject>& objects()
      const noexcept {
    return objects_;
  }

 private:
  struct Watcher {
    std::string name;
    ObjectVersion known;
    GetCallback done;
    TimerId timer;
  };

  [[nodiscard]] Duration Latency();
  [[nodiscard]] StoreResult<StoredObject> Read(const std::string& name) const;
  [[nodiscard]] StoreResult<ObjectVersion> Write(const std::string& name,
                                                 ObjectVersion expected,
                                                 const std::string& value);
  [[nodiscard]] std::optional<LostWrite> TakeLostWrite(const std::string& name);
  void NotifyWatchers(const std::string& name);
  void StartWatch(Watcher watcher, Duration deadline);

  VirtualTime& time_;
  Random* random_ = nullptr;
  std::map<std::string, StoredObject> objects_;
  std::vector<ListedInstance> instances_;
  std::list<Watcher> watchers_;
  std::map<std::string, LostWrite> lost_writes_;
  StoreCalls calls_;
  Duration latency_ = std::chrono::milliseconds(4);
  WatchMode watch_mode_ = WatchMode::kWorking;
  bool outage_ = false;
  StoreEra era_{1};
  std::uint64_t last_version_ = 0;
};

}  // namespace sapphirestream::testing

#endif  // SAPPHIRESTREAM_TESTING_FAKE_STORE_H_
