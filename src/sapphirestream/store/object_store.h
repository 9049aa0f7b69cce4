// The border to the platform's object API: versioned objects with conditional
// updates and watches. Calls complete through callbacks on the control thread.
#ifndef SAPPHIRESTREAM_STORE_OBJECT_STORE_H_
#define SAPPHIRESTREAM_STORE_OBJECT_STORE_H_

#include <cstddef>
#include <cstdint>
#include <functional>
#include <string>
#include <vector>

#include "sapphirestream/base/clock.h"
#include "sapphirestream/base/error.h"
#include "sapphirestream/base/id.h"

namespace sapphirestream {

// Version that the store gives to an object; grows with each write of it.
enum class ObjectVersion : std::uint64_t {};
// Condition of a write: the object must not exist yet.
inline constexpr ObjectVersion kMustNotExist{0};

// Largest value that the store takes, in bytes.
inline constexpr std::size_t kMaxValueBytes = std::size_t{1} << 20;

struct StoredObject {
  ObjectVersion version{};
  std::string value;
};

// The platform's own entry for an instance; lags behind the truth.
struct ListedInstance {
  InstanceId id = kNoInstance;
  DomainId domain{};
  std::string peer_endpoint;
  bool leaving = false;
};

// Outcome of a call. With kOutcomeUnknown a write may have taken effect.
template <typename T>
struct StoreAnswer {
  ErrorKind error = ErrorKind::kNone;
  T value{};
};

class ObjectStore {
 public:
  using GetCallback = std::function<void(StoreAnswer<StoredObject>)>;
  using PutCallback = std::function<void(StoreAnswer<ObjectVersion>)>;
  using ListCallback =
      std::function<void(StoreAnswer<std::vector<ListedInstance>>)>;

  virtual ~ObjectStore() = default;
  // Reads an object. Errors: kNotFound, kStoreUnavailable, kTimedOut.
  virtual void Get(const std::string& name, Duration deadline,
                   GetCallback done) = 0;
  // Waits until the object's version differs from `known`, then reads it;
  // counts as one call while it waits. Errors as Get; kTimedOut when nothing
  // changed.
  virtual void Watch(const std::string& name, ObjectVersion known,
                     Duration deadline, GetCallback done) = 0;
  // Writes if the object's version equals `expected`. Errors: kVersionConflict,
  // kStoreUnavailable (not written), kOutcomeUnknown (may be written).
  virtual void Put(const std::string& name, ObjectVersion expected,
                   std::string value, Duration deadline, PutCallback done) = 0;
  // Reads the platform's list of live and leaving instances.
  virtual void ListInstances(Duration deadline, ListCallback done) = 0;
};

}  // namespace sapphirestream

#endif  // SAPPHIRESTREAM_STORE_OBJECT_STORE_H_
