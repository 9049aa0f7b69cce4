// The objects of the platform's object API, in memory.
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

  // Objects kept at most; bounds the memory to 1 GB with values of 1 MB.
  static constexpr std::size_t kMaxObjects = 1'000;

  // Returns the object, or null if there is none.
  [[nodiscard]] const VersionedValue* Find(const std::string& name) const;
  // Writes if the object's version is `expected` (0: it does not exist) and
  // calls its watchers. Returns the new version, or nothing on a conflict or
  // when the store is full.
  std::optional<std::uint64_t> Write(const std::string& name,
                                     std::uint64_t expected, std::string value);
  // Calls `watcher` once at the next write of the object. Returns a number for
  // `CancelWatch`.
  std::uint64_t Watch(const std::string& name, Watcher watcher);
  // Returns whether the watcher was still waiting.
  bool CancelWatch(const std::string& name, std::uint64_t number);

 private:
  std::unordered_map<std::string, VersionedValue> objects_;
  std::unordered_map<std::string, std::map<std::uint64_t, Watcher>> watchers_;
  std::uint64_t next_watch_ = 1;
};

}  // namespace sapphirestream::standins

#endif  // SAPPHIRESTREAM_TESTING_STANDINS_OBJECT_STORE_H_
