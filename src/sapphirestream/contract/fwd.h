// Forward declarations of module contract.
#ifndef SAPPHIRESTREAM_CONTRACT_FWD_H_
#define SAPPHIRESTREAM_CONTRACT_FWD_H_

namespace sapphirestream {

struct Announcement;
struct Capacity;
struct Change;
struct ChangeEffect;
struct ChangeRecord;
struct Configuration;
struct Preset;
struct Service;
struct ServiceLoad;
struct Target;

}  // namespace sapphirestream

#endif  // SAPPHIRESTREAM_CONTRACT_FWD_H_
