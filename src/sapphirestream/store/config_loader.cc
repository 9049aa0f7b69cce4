// Parallel reads of shards with a bound on those in flight.
#include "sapphirestream/store/config_loader.h"

#include <map>
#include <utility>
#include <vector>

#include "sapphirestream/contract/change.h"
#include "sapphirestream/store/shard_plan.h"

namespace sapphirestream {
namespace {

// Shard reads in flight per load; keeps a cold start of many instances from
// flooding the store.
constexpr std::size_t kMaxParallelReads = 8;

// Runs `call` and returns its value, or stores its error.
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

class ShardLoad : public std::enable_shared_from_this<ShardLoad> {
 public:
  ShardLoad(ObjectStore& store, std::shared_ptr<const Configuration> known,
            Duration deadline, LoadCallback done)
      : store_(store),
        known_(std::move(known)),
        deadline_(deadline),
        done_(std::move(done)) {}

  void Start(const StoredObject& object) {
    answer_.value.head_version = object.version;
    ConfigHead parsed;
    if (!RunInto(answer_.error, parsed,
                 [&] { return ParseHead(object.value); })) {
      Finish();
      return;
    }
    const auto head = std::make_shared<const ConfigHead>(std::move(parsed));
    answer_.value.head = head;
    if (known_ && head->head.version <= known_->version) {
      answer_.value.configuration = known_;
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
        [self = shared_from_this(), name](StoreAnswer<StoredObject> answer) {
          self->OnShard(name, std::move(answer));
        });
  }

  void OnShard(const std::string& name, StoreAnswer<StoredObject> answer) {
    if (!done_) return;
    if (answer.error != ErrorKind::kNone) {
      answer_.error = {answer.error, name};
      Finish();
      return;
    }
    values_.emplace(name, std::move(answer.value.value));
    if (next_ < names_.size()) {
      ReadNext();
    } else if (values_.size() == names_.size()) {
      FinishComplete();
    }
  }

  void FinishComplete() {
    Configuration whole;
    if (RunInto(answer_.error, whole, [&] {
          return Assemble(*answer_.value.head, known_.get(), values_);
        })) {
      answer_.value.configuration =
          std::make_shared<const Configuration>(std::move(whole));
    }
    Finish();
  }

  void Finish() {
    const LoadCallback done = std::exchange(done_, nullptr);
    done(std::move(answer_));
  }

  ObjectStore& store_;
  std::shared_ptr<const Configuration> known_;
  Duration deadline_;
  LoadCallback done_;
  LoadAnswer answer_{{ErrorKind::kNone, ""}, {}};
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
       done = std::move(done)](StoreAnswer<StoredObject> answer) {
        if (answer.error == ErrorKind::kNotFound) {
          LoadAnswer initial{{ErrorKind::kNone, ""}, {}};
          initial.value.configuration =
              std::make_shared<const Configuration>(InitialConfiguration());
          done(std::move(initial));
        } else if (answer.error != ErrorKind::kNone) {
          done({{answer.error, std::string(kHeadName)}, {}});
        } else {
          LoadShards(store, answer.value, known, deadline, done);
        }
      });
}

}  // namespace sapphirestream
