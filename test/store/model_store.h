// Model of a store in virtual time: its cache can lag behind, open connections
// can go silent, it can be unavailable, and an instance can have a slow link.
#ifndef SAPPHIRESTREAM_TEST_STORE_MODEL_STORE_H_
#define SAPPHIRESTREAM_TEST_STORE_MODEL_STORE_H_

#include <algorithm>
#include <chrono>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
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
  // Size of each object in a reply.
  std::size_t object_bytes = 0;
  Duration cache_lag{};
  bool is_available = true;
  // Calls are not answered, on any connection.
  bool is_silent = false;
  TimePoint silenced_at{};
};

// The link of an instance, which all its connections share.
struct ModelLink {
  // Returns when the next bytes have passed.
  TimePoint Reserve(std::size_t bytes, TimePoint now) {
    const std::chrono::duration<double> time(static_cast<double>(bytes) /
                                             bytes_per_s);
    free_at =
        std::max(free_at, now) + std::chrono::duration_cast<Duration>(time);
    return free_at;
  }

  double bytes_per_s = 125e6;
  TimePoint free_at{};
};

// Several clients may share a connection.
struct ModelConnection {
  // When it was opened; unset if it is not open.
  TimePoint opened{};
  bool has_answered = false;
  // Whether a reply is arriving.
  bool is_receiving = false;
  // Increases when it is closed.
  int number = 0;
};

// Client of one collection.
class ModelClient final : public CollectionClient<int> {
 public:
  // Time from a call to its reply.
  static constexpr Duration kLatency = std::chrono::milliseconds(10);

  // Replies pass the link if there is one.
  ModelClient(ModelStore& store, ModelConnection& connection,
              std::string collection, ModelLink* link = nullptr)
      : store_(store),
        connection_(connection),
        collection_(std::move(collection)),
        link_(link) {}

  void List(const std::string& /*after*/, Freshness freshness,
            const CallLimits& limits, Done done) override {
    Begin(freshness);
    Answer([this, freshness] { return Listed(freshness); }, limits,
           std::move(done));
  }
  void Watch(std::uint64_t since, Duration wait, Freshness freshness,
             const CallLimits& limits, Done done) override {
    Begin(freshness);
    AnswerWatch({since, freshness, store_.time.Now() + wait,
                 store_.time.Now() + limits.deadline, limits.max_bytes,
                 std::move(done)});
  }
  void Cancel() override { Disconnect(); }
  [[nodiscard]] bool IsReceiving() const override {
    return connection_.is_receiving;
  }

  int current_calls = 0;
  int cached_calls = 0;
  // Bytes of all replies, also of those that were abandoned.
  std::size_t bytes = 0;

 private:
  struct WatchCall {
    std::uint64_t since = 0;
    Freshness freshness = Freshness::kCurrent;
    TimePoint until;
    TimePoint deadline;
    std::size_t max_bytes = 0;
    Done done;
  };
  static constexpr Duration kWatchStep = std::chrono::milliseconds(20);
  // Bytes that share the link with those of other connections in turn.
  static constexpr std::size_t kSegment = std::size_t{16} * 1024;

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
    connection_.is_receiving = false;
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
    reply.bytes = reply.items.size() * store_.object_bytes;
    return reply;
  }
  // Returns the last change of each object.
  [[nodiscard]] CollectionReply<int> Listed(Freshness freshness) const {
    CollectionReply<int> reply = Changes(0, freshness);
    std::map<std::string, CollectionItem<int>> last;
    for (const auto& item : reply.items) last[item.name] = item;
    reply.items.clear();
    for (const auto& [name, item] : last) reply.items.push_back(item);
    reply.bytes = reply.items.size() * store_.object_bytes;
    return reply;
  }

  void AnswerWatch(WatchCall call) {
    const TimePoint now = store_.time.Now();
    const bool is_over = now >= call.until || IsSilent() ||
                         !store_.is_available ||
                         !Changes(call.since, call.freshness).items.empty();
    if (is_over) {
      return Answer(
          [this, since = call.since, freshness = call.freshness] {
            return Changes(since, freshness);
          },
          {call.deadline - now, call.max_bytes}, std::move(call.done));
    }
    store_.time.After(kWatchStep, [this, number = connection_.number,
                                   call = std::move(call)] {
      if (number == connection_.number) AnswerWatch(call);
    });
  }

  // `read` returns what the store has.
  template <typename Read>
  void Answer(Read read, const CallLimits& limits, Done done) {
    CollectionReply<int> reply;
    Duration delay = kLatency;
    if (IsSilent()) {
      reply.error = connection_.has_answered ? ErrorKind::kStoreUnavailable
                                             : ErrorKind::kTimedOut;
      delay = limits.deadline;
    } else if (!store_.is_available) {
      reply.error = ErrorKind::kStoreUnavailable;
    } else {
      reply = read();
    }
    if (reply.bytes > limits.max_bytes) {
      reply = {};
      reply.error = ErrorKind::kReplyTooLarge;
    }
    store_.time.After(
        delay, [this, number = connection_.number, reply = std::move(reply),
                done = std::move(done)] {
          if (number == connection_.number) Receive(reply, reply.bytes, done);
        });
  }

  void Receive(const CollectionReply<int>& reply, std::size_t left,
               const Done& done) {
    const std::size_t size = std::min(left, kSegment);
    bytes += size;
    if (size == 0 || link_ == nullptr) return Finish(reply, done);
    connection_.is_receiving = true;
    const TimePoint now = store_.time.Now();
    store_.time.After(
        link_->Reserve(size, now) - now,
        [this, number = connection_.number, reply, left = left - size, done] {
          if (number == connection_.number) Receive(reply, left, done);
        });
  }

  void Finish(const CollectionReply<int>& reply, const Done& done) {
    connection_.is_receiving = false;
    connection_.has_answered = true;
    if (reply.error != ErrorKind::kNone) Disconnect();
    done(reply);
  }

  ModelStore& store_;
  ModelConnection& connection_;
  std::string collection_;
  ModelLink* link_;
};

}  // namespace sapphirestream

#endif  // SAPPHIRESTREAM_TEST_STORE_MODEL_STORE_H_
