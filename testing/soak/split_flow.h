// Tells whether the reset of a flow is correct although a target holds the
// flow: the flow is split between two targets, and the one that the client
// addresses has crashed. See docs/soak.md.
#ifndef SAPPHIRESTREAM_TESTING_SOAK_SPLIT_FLOW_H_
#define SAPPHIRESTREAM_TESTING_SOAK_SPLIT_FLOW_H_

#include <cstddef>
#include <functional>
#include <optional>
#include <vector>

#include "sapphirestream/base/clock.h"
#include "sapphirestream/base/id.h"
#include "sapphirestream/edge/fwd.h"

namespace sapphirestream::soak {

// An opening packet of a flow that a target has handled.
struct OpeningReceipt {
  TargetKey target{};
  Incarnation incarnation{};
  // Token that the instance wrote into the packet.
  FlowToken token{};
  // The instance that forwarded it; unset if the sender is none.
  std::optional<std::size_t> instance;
  // When the client sent it.
  TimePoint sent{};
};

struct FlowReset {
  // The target that opened the flow and holds it.
  TargetKey holder{};
  // The instance that reset the flow, and when its process started.
  std::size_t instance = 0;
  TimePoint process_started{};
  // Token of the last packet that the client sent to this instance.
  FlowToken token{};
};

// The process of a target, or the last one if the target has crashed.
struct TargetProcess {
  Incarnation incarnation{};
  bool is_running = false;
};
// Returns nothing for a target that was replaced, which is no crash.
using FindTargetProcess =
    std::function<std::optional<TargetProcess>(TargetKey)>;

// `receipts` are those of the flow. The client's packets to the instance must
// name a target that has handled the flow's opening packet and has crashed
// since. The process that forwarded the opening packet to the holder has to
// correct the token, so that a reset of its own is never correct.
[[nodiscard]] bool IsResetOfSplitFlow(
    const FlowReset& reset, const std::vector<OpeningReceipt>& receipts,
    const FindTargetProcess& find);

}  // namespace sapphirestream::soak

#endif  // SAPPHIRESTREAM_TESTING_SOAK_SPLIT_FLOW_H_
