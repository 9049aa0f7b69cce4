// Forward declarations of module flow.
#ifndef SAPPHIRESTREAM_FLOW_FWD_H_
#define SAPPHIRESTREAM_FLOW_FWD_H_

namespace sapphirestream {

class FastPath;
class FlowTable;
class Steering;
class SteeringSink;
struct FlowKey;
struct FlowRecord;
struct Packet;
struct Snapshot;
struct Verdict;

}  // namespace sapphirestream

#endif  // SAPPHIRESTREAM_FLOW_FWD_H_
