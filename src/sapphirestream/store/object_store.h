// Interface to the platform's object API: versioned objects with conditional
// writes and watches. Callbacks run on the control thread.
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
#include "sapphirestream/base/store_revision.h"

namespace sapphirestream {

// Version that the store assigns to an object; increases with each write to it.
// A restored store assigns the numbers of lost versions again, in a later era.
using ObjectVersion = StoreRevision;
// Condition of a write: the object must not exist yet.
inline constexpr ObjectVersion kMustNotExist{};

// Maximum size of a stored value, in bytes.
inline constexpr std::size_t kMaxValueBytes = std::size_t{1} << 20;

struct StoredObject {
  ObjectVersion version{};
  std::string value;
};

// Entry in the platform's list of instances, which may be out of date.
struct ListedInstance {
  InstanceId id = kNoInstance;
  DomainId domain{};
  std::string peer_endpoint;
  bool leaving = false;
};

// Result of a call. With kOutcomeUnknown, a write may have taken effect. If an
// object was not found, `value` contains the era.
template <typename T>
struct StoreResult {
  ErrorKind error = ErrorKind::kNone;
  T value{};
};

class ObjectStore {
 public:
  using GetCallback = std::function<void(StoreResult<StoredObject>)>;
  using PutCallback = std::function<void(StoreResult<ObjectVersion>)>;
  using ListCallback =
      std::function<void(StoreResult<std::vector<ListedInstance>>)>;

  virtual ~ObjectStore() = default;
  // Reads an object. Errors: kNotFound, kStoreUnavailable, kTimedOut.
  virtual void Get(const std::string& name, Duration deadline,
                   GetCallback done) = 0;
  // Waits until the version of the object differs from `known`, then reads it.
  // Counts as one call, however long it waits. Errors as for Get; kTimedOut if
  // nothing changed.
  virtual void Watch(const std::string& name, ObjectVersion known,
                     Duration deadline, GetCallback done) = 0;
  // Writes if the version of the object equals `expected`, which includes the
  // era: a version of a lost history does not match. Errors:
  // kVersionConflict, kStoreUnavailable (not written), kOutcomeUnknown (may
  // have been written).
  virtual void Put(const std::string& name, ObjectVersion expected,
                   std::string value, Duration deadline, PutCallback done) = 0;
  // Reads the platform's list of live and leaving instances.
  virtual void ListInstances(Duration deadline, ListCallback done) = 0;
};

}  // namespace sapphirestream

#endif  // SAPPHIRESTREAM_STORE_OBJECT_STORE_H_
