// Forward declarations and ids of module edge.
#ifndef SAPPHIRESTREAM_EDGE_FWD_H_
#define SAPPHIRESTREAM_EDGE_FWD_H_

#include <cstdint>

namespace sapphirestream {

class EdgeSink;
class EdgeSteering;
class FlowWatch;
class RouteTable;
class TargetDirectory;
struct EdgePacket;
struct EdgeTarget;
struct Route;
struct RouteConfig;
struct TargetRecord;

// Names a target on the wire, in front of each packet that is sent to it.
enum class TargetKey : std::uint64_t {};

// The number that both ends of a flow repeat in every packet; names the flow's
// target. Zero means "none yet".
enum class FlowToken : std::uint32_t {};

// Position of a service's name in RouteTable.
enum class ServiceNumber : std::uint32_t {};

}  // namespace sapphirestream

#endif  // SAPPHIRESTREAM_EDGE_FWD_H_
