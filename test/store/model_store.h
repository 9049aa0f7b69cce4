// Model of a store in virtual time: its cache can lag behind, open connections
// can go silent, and it can be unavailable.
#ifndef SAPPHIRESTREAM_TEST_STORE_MODEL_STORE_H_
#define SAPPHIRESTREAM_TEST_STORE_MODEL_STORE_H_

#include <chrono>
#include <cstdint>
#include <functional>
#include <string>
#include <utility>
#include <vector>

#include "sapphirestream/store/collection.h"
#include "testing/virtual_time.h"

namespace sapphirestream {

struct ModelStore {
  struct Change {
    TimePoint time;
    std::uint64_t revision = 0;
    std::string collection;
    std::string name;
  };

  explicit ModelStore(testing::VirtualTime& virtual_time)
      : time(virtual_time) {}

  // Changes an object of a collection; returns when it was acknowledged.
  TimePoint Put(const std::string& collection, const std::string& name) {
    changes.push_back({time.Now(), ++revision, collection, name});
    return time.Now();
  }
  // Connections that are open now carry nothing any more; new ones work.
  void SilenceOpenConnections() { silenced_at = time.Now(); }
  // Returns the revision up to which a read sees changes.
  [[nodiscard]] std::uint64_t Seen(Freshness freshness) const {
    std::uint64_t seen = 0;
    for (const Change& change : changes) {
      const bool is_hidden = freshness == Freshness::kCached &&
                             time.Now() - change.time < cache_lag;
      if (!is_hidden) seen = change.revision;
    }
    return seen;
  }

  testing::VirtualTime& time;
  std::uint64_t revision = 0;
  std::vector<Change> changes;
  Duration cache_lag{};
  bool is_available = true;
  // Calls are not answered, on any connection.
  bool is_silent = false;
  TimePoint silenced_at{};
};

// Several clients may share a connection.
struct ModelConnection {
  // When it was opened; unset if it is not open.
  TimePoint opened{};
  bool has_answered = false;
  // Increases when it is closed.
  int number = 0;
};

// Client of one collection.
class ModelClient final : public CollectionClient<int> {
 public:
  // Time from a call to its reply.
  static constexpr Duration kLatency = std::chrono::milliseconds(10);

  ModelClient(ModelStore& store, ModelConnection& connection,
              std::string collection)
      : store_(store),
        connection_(connection),
        collection_(std::move(collection)) {}

  void List(const std::string& /*after*/, Freshness freshness,
            const CallLimits& limits, Done done) override {
    Begin(freshness);
    Reply(0, freshness, limits.deadline, std::move(done));
  }
  void Watch(std::uint64_t since, Duration wait, Freshness freshness,
             const CallLimits& limits, Done done) override {
    Begin(freshness);
    const TimePoint now = store_.time.Now();
    AnswerWatch(since, freshness, now + wait, now + limits.deadline,
                std::move(done));
  }
  void Cancel() override { Disconnect(); }

  int current_calls = 0;
  int cached_calls = 0;

 private:
  static constexpr Duration kWatchStep = std::chrono::milliseconds(20);

  void Begin(Freshness freshness) {
    if (connection_.opened == TimePoint{}) {
      connection_.opened = store_.time.Now();
    }
    ++(freshness == Freshness::kCurrent ? current_calls : cached_calls);
  }
  // Replies to earlier calls do not arrive.
  void Disconnect() {
    connection_.opened = {};
    connection_.has_answered = false;
    ++connection_.number;
  }
  [[nodiscard]] bool IsSilent() const {
    return store_.is_silent || connection_.opened < store_.silenced_at;
  }

  [[nodiscard]] CollectionReply<int> Changes(std::uint64_t since,
                                             Freshness freshness) const {
    CollectionReply<int> reply;
    reply.revision = {StoreEra{1}, store_.Seen(freshness)};
    for (const auto& change : store_.changes) {
      const bool is_new = change.collection == collection_ &&
                          change.revision > since &&
                          change.revision <= reply.revision.number;
      if (!is_new) continue;
      reply.items.push_back(
          {change.name, {StoreEra{1}, change.revision}, false, 1});
    }
    return reply;
  }

  void AnswerWatch(std::uint64_t since, Freshness freshness, TimePoint until,
                   TimePoint deadline, Done done) {
    const bool is_over = store_.time.Now() >= until || IsSilent() ||
                         !store_.is_available ||
                         !Changes(since, freshness).items.empty();
    if (is_over) {
      return Reply(since, freshness, deadline - store_.time.Now(),
                   std::move(done));
    }
    store_.time.After(kWatchStep, [=, this, number = connection_.number] {
      if (number != connection_.number) return;
      AnswerWatch(since, freshness, until, deadline, done);
    });
  }

  void Reply(std::uint64_t since, Freshness freshness, Duration deadline,
             Done done) {
    CollectionReply<int> reply;
    Duration delay = kLatency;
    if (IsSilent()) {
      reply.error = connection_.has_answered ? ErrorKind::kStoreUnavailable
                                             : ErrorKind::kTimedOut;
      delay = deadline;
    } else if (!store_.is_available) {
      reply.error = ErrorKind::kStoreUnavailable;
    } else {
      reply = Changes(since, freshness);
    }
    store_.time.After(
        delay, [this, number = connection_.number, reply = std::move(reply),
                done = std::move(done)] {
          if (number != connection_.number) return;
          connection_.has_answered = true;
          if (reply.error != ErrorKind::kNone) Disconnect();
          done(reply);
        });
  }

  ModelStore& store_;
  ModelConnection& connection_;
  std::string collection_;
};

}  // namespace sapphirestream

#endif  // SAPPHIRESTREAM_TEST_STORE_MODEL_STORE_H_
