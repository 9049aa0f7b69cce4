// Parallel shard reads with a limit on the number in flight.
#include "sapphirestream/store/config_loader.h"

#include <map>
#include <utility>
#include <vector>

#include "sapphirestream/contract/change.h"
#include "sapphirestream/contract/find.h"
#include "sapphirestream/store/shard_plan.h"

namespace sapphirestream {
namespace {

// Maximum number of shard reads in flight per load. Prevents many instances
// that start at the same time from overloading the store.
constexpr std::size_t kMaxParallelReads = 8;

// Runs `call` and stores its value or its error. Returns whether it succeeded.
template <typename T, typename Call>
bool RunInto(Error& error, T& value, Call call) {
  return leaf::try_handle_all(
      [&]() -> leaf::result<bool> {
        BOOST_LEAF_ASSIGN(value, call());
        return true;
      },
      [&](const Error& failure) {
        error = failure;
        return false;
      },
      [&] {
        error = Error{ErrorKind::kInternal, "error without detail"};
        return false;
      });
}

// Whether a head continues the history of a configuration, so that shards that
// are not newer have the same content. After a restoration of the store, a head
// with the same or a later version may contain other changes.
bool Continues(const Configuration& head, const Configuration& known) {
  if (known.recent_changes.empty()) return Value(known.version) == 0;
  const ChangeRecord& last = known.recent_changes.back();
  const ChangeRecord* const record = FindChange(head, last.id);
  return record != nullptr && *record == last;
}

class ShardLoad : public std::enable_shared_from_this<ShardLoad> {
 public:
  ShardLoad(ObjectStore& store, std::shared_ptr<const Configuration> known,
            Duration deadline, LoadCallback done)
      : store_(store),
        known_(std::move(known)),
        deadline_(deadline),
        done_(std::move(done)) {}

  void Start(const StoredObject& object) {
    result_.value.head_version = object.version;
    result_.value.era = object.version.era;
    ConfigHead parsed;
    if (!RunInto(result_.error, parsed,
                 [&] { return ParseHead(object.value); })) {
      Finish();
      return;
    }
    const auto head = std::make_shared<const ConfigHead>(std::move(parsed));
    result_.value.head = head;
    const bool is_older = known_ && head->head.version < known_->version;
    if (known_ && !is_older && !Continues(head->head, *known_)) known_.reset();
    if (known_ && head->head.version <= known_->version) {
      result_.value.configuration = known_;
      Finish();
      return;
    }
    names_ = MissingShards(*head, known_.get());
    if (names_.empty()) {
      FinishComplete();
      return;
    }
    while (next_ < names_.size() && next_ < kMaxParallelReads) ReadNext();
  }

 private:
  void ReadNext() {
    const std::string name = names_[next_++];
    store_.Get(
        name, deadline_,
        [self = shared_from_this(), name](StoreResult<StoredObject> result) {
          self->OnShard(name, std::move(result));
        });
  }

  void OnShard(const std::string& name, StoreResult<StoredObject> result) {
    if (!done_) return;
    if (result.error != ErrorKind::kNone) {
      result_.error = {result.error, name};
      Finish();
      return;
    }
    values_.emplace(name, std::move(result.value.value));
    if (next_ < names_.size()) {
      ReadNext();
    } else if (values_.size() == names_.size()) {
      FinishComplete();
    }
  }

  void FinishComplete() {
    Configuration whole;
    if (RunInto(result_.error, whole, [&] {
          return Assemble(*result_.value.head, known_.get(), values_);
        })) {
      result_.value.configuration =
          std::make_shared<const Configuration>(std::move(whole));
    }
    Finish();
  }

  void Finish() {
    const LoadCallback done = std::exchange(done_, nullptr);
    done(std::move(result_));
  }

  ObjectStore& store_;
  std::shared_ptr<const Configuration> known_;
  Duration deadline_;
  LoadCallback done_;
  LoadResult result_{{ErrorKind::kNone, ""}, {}};
  std::vector<std::string> names_;
  std::size_t next_ = 0;
  std::map<std::string, std::string> values_;
};

}  // namespace

void LoadShards(ObjectStore& store, const StoredObject& head,
                std::shared_ptr<const Configuration> known, Duration deadline,
                LoadCallback done) {
  std::make_shared<ShardLoad>(store, std::move(known), deadline,
                              std::move(done))
      ->Start(head);
}

void LoadConfig(ObjectStore& store, std::shared_ptr<const Configuration> known,
                Duration deadline, LoadCallback done) {
  store.Get(
      std::string(kHeadName), deadline,
      [&store, known = std::move(known), deadline,
       done = std::move(done)](StoreResult<StoredObject> result) {
        if (result.error == ErrorKind::kNotFound) {
          LoadResult initial{{ErrorKind::kNone, ""}, {}};
          initial.value.era = result.value.version.era;
          initial.value.configuration =
              std::make_shared<const Configuration>(InitialConfiguration());
          done(std::move(initial));
        } else if (result.error != ErrorKind::kNone) {
          done({{result.error, std::string(kHeadName)}, {}});
        } else {
          LoadShards(store, result.value, known, deadline, done);
        }
      });
}

}  // namespace sapphirestream
