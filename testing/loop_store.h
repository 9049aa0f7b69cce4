// In-memory object store on an event loop, for tests in real time. It never
// fails; FakeStore simulates failures.
#ifndef SAPPHIRESTREAM_TESTING_LOOP_STORE_H_
#define SAPPHIRESTREAM_TESTING_LOOP_STORE_H_

#include <boost/asio/io_context.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <utility>
#include <vector>

#include "sapphirestream/store/object_store.h"

namespace sapphirestream::testing {

// Objects shared by the instances of a test, which run in separate threads.
struct LoopObjects {
  std::mutex mutex;
  std::map<std::string, StoredObject> objects;
  std::vector<ListedInstance> instances;
};

class LoopStore final : public ObjectStore {
 public:
  LoopStore(boost::asio::io_context& io, LoopObjects& shared)
      : io_(io), shared_(shared) {}

  void Get(const std::string& name, Duration, GetCallback done) override {
    Post(std::move(done), Read(name));
  }
  void Watch(const std::string& name, ObjectVersion known, Duration deadline,
             GetCallback done) override {
    // Polls at short intervals instead of waiting for writers.
    auto result = Read(name);
    const bool has_changed = result.value.version != known;
    if (has_changed || deadline <= Duration::zero()) {
      if (!has_changed) result.error = ErrorKind::kTimedOut;
      Post(std::move(done), std::move(result));
      return;
    }
    auto timer =
        std::make_shared<boost::asio::steady_timer>(io_, kPollInterval);
    timer->async_wait([this, timer, name, known, deadline,
                       done = std::move(done)](auto error) {
      if (!error) Watch(name, known, deadline - kPollInterval, done);
    });
  }
  void Put(const std::string& name, ObjectVersion expected, std::string value,
           Duration, PutCallback done) override {
    const std::scoped_lock lock(shared_.mutex);
    StoredObject& object = shared_.objects[name];
    StoreResult<ObjectVersion> result{.error = ErrorKind::kVersionConflict};
    if (object.version == expected) {
      object = {ObjectVersion{expected.era, expected.number + 1},
                std::move(value)};
      result = {.value = object.version};
    }
    Post(std::move(done), result);
  }
  void ListInstances(Duration, ListCallback done) override {
    const std::scoped_lock lock(shared_.mutex);
    Post(std::move(done),
         StoreResult<std::vector<ListedInstance>>{.value = shared_.instances});
  }

 private:
  static constexpr std::chrono::milliseconds kPollInterval{20};

  StoreResult<StoredObject> Read(const std::string& name) {
    const std::scoped_lock lock(shared_.mutex);
    const auto it = shared_.objects.find(name);
    if (it == shared_.objects.end()) return {.error = ErrorKind::kNotFound};
    return {.value = it->second};
  }
  template <typename Callback, typename Result>
  void Post(Callback done, Result result) {
    boost::asio::post(io_, [done = std::move(done),
                            result = std::move(result)] { done(result); });
  }

  boost::asio::io_context& io_;
  LoopObjects& shared_;
};

}  // namespace sapphirestream::testing

#endif  // SAPPHIRESTREAM_TESTING_LOOP_STORE_H_
