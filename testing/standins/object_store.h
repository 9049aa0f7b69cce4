// In-memory storage of the platform's object API.
#ifndef SAPPHIRESTREAM_TESTING_STANDINS_OBJECT_STORE_H_
#define SAPPHIRESTREAM_TESTING_STANDINS_OBJECT_STORE_H_

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <unordered_map>

namespace sapphirestream::standins {

struct VersionedValue {
  std::uint64_t version = 0;
  std::string value;
};

class VersionedStore {
 public:
  using Watcher = std::function<void(const VersionedValue&)>;

  // Maximum number of objects; limits memory to 1 GB with values of 1 MB.
  static constexpr std::size_t kMaxObjects = 1'000;

  // Returns the object, or null if there is none.
  [[nodiscard]] const VersionedValue* Find(const std::string& name) const;
  // Writes the object if its version is `expected` (0 if it must not exist) and
  // calls its watchers. Returns the new version, or nothing on a conflict or if
  // the store is full.
  std::optional<std::uint64_t> Write(const std::string& name,
                                     std::uint64_t expected, std::string value);
  // Calls `watcher` once, at the next write of the object. Returns a number to
  // pass to `CancelWatch`.
  std::uint64_t Watch(const std::string& name, Watcher watcher);
  // Returns a copy of all objects, for Restore().
  [[nodiscard]] std::unordered_map<std::string, VersionedValue> Copy() const {
    return objects_;
  }
  // Restores a copy and calls all watchers of objects in it.
  void Restore(std::unordered_map<std::string, VersionedValue> copy);
  // Returns whether the watcher was still registered.
  bool CancelWatch(const std::string& name, std::uint64_t number);

 private:
  void NotifyWatchers(const std::string& name, const VersionedValue& object);

  std::unordered_map<std::string, VersionedValue> objects_;
  std::unordered_map<std::string, std::map<std::uint64_t, Watcher>> watchers_;
  std::uint64_t next_watch_ = 1;
};

}  // namespace sapphirestream::standins

#endif  // SAPPHIRESTREAM_TESTING_STANDINS_OBJECT_STORE_H_
