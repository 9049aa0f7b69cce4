// The path of a packet on a traffic thread: flows that need no record and flows
// known here are steered without a lock or an allocation; every other packet
// goes to the flow's owner.
#ifndef SAPPHIRESTREAM_FLOW_FAST_PATH_H_
#define SAPPHIRESTREAM_FLOW_FAST_PATH_H_

#include <cstddef>
#include <cstdint>
#include <optional>
#include <utility>

#include "sapphirestream/base/clock.h"
#include "sapphirestream/flow/learned_table.h"
#include "sapphirestream/flow/packet.h"
#include "sapphirestream/flow/repeat_detector.h"
#include "sapphirestream/flow/snapshot.h"
#include "sapphirestream/flow/verdict.h"

namespace sapphirestream {

// Redirects that a packet may take between instances.
inline constexpr std::uint8_t kRedirectHopLimit = 3;

// Used by one thread.
class FastPath {
 public:
  struct Options {
    // Learned flows kept at most; rounded up to a power of two.
    std::size_t learned_capacity = 65'536;
    // After this time a learned flow is asked for again, so that the owner's
    // record does not look idle.
    Duration learned_lifetime = std::chrono::seconds(300);
  };

  explicit FastPath(const Options& options);

  // Decides about a packet from the fabric: kForward, kEscalate, kRedirect or
  // kDrop. Sets `repeated` if the same bytes of the flow were seen before; it
  // is passed on with an escalated or redirected packet.
  [[nodiscard]] Verdict OnPacket(const Packet& packet, const Snapshot& snapshot,
                                 TimePoint now, bool& repeated);
  // Remembers where a flow's packets go.
  void Learn(const FlowKey& key, std::uint64_t hash, TargetId target,
             TimePoint now);
  // Forgets a flow.
  void Forget(const FlowKey& key, std::uint64_t hash);
  // Returns a flow known here whose client closed it since the last call; the
  // caller passes it to Steering::OnLocalEnd.
  [[nodiscard]] std::optional<FlowKey> TakeEnded();

  [[nodiscard]] std::size_t learned() const noexcept { return learned_.size(); }

 private:
  LearnedTable learned_;
  Duration learned_lifetime_;
  RepeatDetector repeats_;
  std::optional<FlowKey> ended_;
};

}  // namespace sapphirestream

#endif  // SAPPHIRESTREAM_FLOW_FAST_PATH_H_
