// Forward declarations and id types of the edge module.
#ifndef SAPPHIRESTREAM_EDGE_FWD_H_
#define SAPPHIRESTREAM_EDGE_FWD_H_

#include <cstdint>

namespace sapphirestream {

class EdgeSink;
class EdgeSteering;
class FlowCache;
class RouteTable;
class TargetDirectory;
struct EdgePacket;
struct EdgeTarget;
struct Route;
struct RouteConfig;
struct TargetRecord;

// Identifies a target on the wire: it precedes each packet sent to the target.
enum class TargetKey : std::uint64_t {};

// Identifies a flow's target; both ends of the flow repeat it in every packet.
// Zero means that no token has been assigned yet.
enum class FlowToken : std::uint32_t {};

// Identifies a process of another instance: a random number that each process
// selects when it starts.
enum class PeerId : std::uint64_t {};

// Index of a service in RouteTable.
enum class ServiceNumber : std::uint32_t {};

}  // namespace sapphirestream

#endif  // SAPPHIRESTREAM_EDGE_FWD_H_
