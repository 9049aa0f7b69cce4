// Reads the head and the shards that the caller does not have yet.
#ifndef SAPPHIRESTREAM_STORE_CONFIG_LOADER_H_
#define SAPPHIRESTREAM_STORE_CONFIG_LOADER_H_

#include <functional>
#include <memory>
#include <string>

#include "sapphirestream/base/clock.h"
#include "sapphirestream/base/error.h"
#include "sapphirestream/contract/configuration.h"
#include "sapphirestream/store/config_head.h"
#include "sapphirestream/store/object_store.h"

namespace sapphirestream {

struct LoadedConfig {
  // Of the head object; kMustNotExist if there is none.
  ObjectVersion head_version = kMustNotExist;
  // Null if there is no head object.
  std::shared_ptr<const ConfigHead> head;
  // InitialConfiguration() if there is no head object.
  std::shared_ptr<const Configuration> configuration;
};

struct LoadAnswer {
  // kNone, an error of ObjectStore::Get, or one of Assemble and ParseHead.
  Error error;
  LoadedConfig value;
};

using LoadCallback = std::function<void(LoadAnswer)>;

// Reads the head, then as LoadShards. `deadline` holds for each call.
void LoadConfig(ObjectStore& store, std::shared_ptr<const Configuration> known,
                Duration deadline, LoadCallback done);

// Reads the shards of a head already read that `known` does not have, several
// at a time. If the head is not newer than `known`, nothing is read and the
// answer carries `known`.
void LoadShards(ObjectStore& store, const StoredObject& head,
                std::shared_ptr<const Configuration> known, Duration deadline,
                LoadCallback done);

}  // namespace sapphirestream

#endif  // SAPPHIRESTREAM_STORE_CONFIG_LOADER_H_
