// Forward declarations of module platform.
#ifndef SAPPHIRESTREAM_PLATFORM_FWD_H_
#define SAPPHIRESTREAM_PLATFORM_FWD_H_

namespace sapphirestream {

class ObjectStore;
struct StoredObject;

}  // namespace sapphirestream

#endif  // SAPPHIRESTREAM_PLATFORM_FWD_H_
