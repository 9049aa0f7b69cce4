// Forward declarations of module target.
#ifndef SAPPHIRESTREAM_TARGET_FWD_H_
#define SAPPHIRESTREAM_TARGET_FWD_H_

namespace sapphirestream {

class LookupTable;
class Placer;
class PlacerFactory;
struct LoadReport;
struct Placement;
struct PlacementRequest;

}  // namespace sapphirestream

#endif  // SAPPHIRESTREAM_TARGET_FWD_H_
