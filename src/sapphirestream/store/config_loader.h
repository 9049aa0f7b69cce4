// Loads the head and the shards that the caller does not have yet.
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
  // Version of the head object; kMustNotExist if there is none.
  ObjectVersion head_version = kMustNotExist;
  // Era of the store when it was read.
  StoreEra era = kUnknownEra;
  // Null if there is no head object.
  std::shared_ptr<const ConfigHead> head;
  // InitialConfiguration() if there is no head object.
  std::shared_ptr<const Configuration> configuration;
};

struct LoadResult {
  // kNone, or an error of ObjectStore::Get, ParseHead or Assemble.
  Error error;
  LoadedConfig value;
};

using LoadCallback = std::function<void(LoadResult)>;

// Reads the head, then loads its shards as LoadShards does. `deadline` applies
// to each store call separately.
void LoadConfig(ObjectStore& store, std::shared_ptr<const Configuration> known,
                Duration deadline, LoadCallback done);

// Reads those shards of a head that `known` does not contain, several in
// parallel. If the head is not newer than `known`, reads nothing and returns
// `known`. If the head has the version of `known` or a later one, but does not
// contain its last change, reads all shards.
void LoadShards(ObjectStore& store, const StoredObject& head,
                std::shared_ptr<const Configuration> known, Duration deadline,
                LoadCallback done);

}  // namespace sapphirestream

#endif  // SAPPHIRESTREAM_STORE_CONFIG_LOADER_H_
