// Forward declarations of module link.
#ifndef SAPPHIRESTREAM_LINK_FWD_H_
#define SAPPHIRESTREAM_LINK_FWD_H_

namespace sapphirestream {

struct InnerPacket;
struct GeneveHeader;

}  // namespace sapphirestream

#endif  // SAPPHIRESTREAM_LINK_FWD_H_
