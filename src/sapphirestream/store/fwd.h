// Forward declarations of module store.
#ifndef SAPPHIRESTREAM_STORE_FWD_H_
#define SAPPHIRESTREAM_STORE_FWD_H_

namespace sapphirestream {

class ObjectStore;
struct StoredObject;

}  // namespace sapphirestream

#endif  // SAPPHIRESTREAM_STORE_FWD_H_
