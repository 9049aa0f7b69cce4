// Packet path of a traffic thread. Stateless and learned flows are steered
// without a lock or an allocation; every other packet goes to the owner of its
// flow.
#ifndef SAPPHIRESTREAM_FLOW_FAST_PATH_H_
#define SAPPHIRESTREAM_FLOW_FAST_PATH_H_

#include <cstddef>
#include <cstdint>
#include <optional>
#include <utility>

#include "sapphirestream/base/clock.h"
#include "sapphirestream/flow/learned_table.h"
#include "sapphirestream/flow/packet.h"
#include "sapphirestream/flow/retransmission_detector.h"
#include "sapphirestream/flow/snapshot.h"
#include "sapphirestream/flow/verdict.h"

namespace sapphirestream {

// Maximum number of redirects of one packet between instances.
inline constexpr std::uint8_t kRedirectHopLimit = 3;

// Not thread-safe; each traffic thread has its own.
class FastPath {
 public:
  struct Options {
    // Maximum number of learned flows; rounded up to a power of two.
    std::size_t learned_capacity = 65'536;
    // A learned flow expires after this time, so that the owner still sees
    // packets of a long flow and does not expire its record as idle.
    Duration learned_lifetime = std::chrono::seconds(300);
  };

  explicit FastPath(const Options& options);

  // Returns kForward, kEscalate, kRedirect or kDrop for a packet from the
  // fabric. Sets `repeated` if the packet is a retransmission of the last
  // payload seen here; the flag is passed on with escalated and redirected
  // packets.
  [[nodiscard]] Verdict OnPacket(const Packet& packet, const Snapshot& snapshot,
                                 TimePoint now, bool& repeated);
  // Adds a learned flow or updates its target.
  void Learn(const FlowKey& key, std::uint64_t hash, TargetId target,
             TimePoint now);
  // Removes a learned flow.
  void Forget(const FlowKey& key, std::uint64_t hash);
  // Returns a learned flow that its client has closed since the last call, if
  // any. The caller passes it to Steering::OnLocalEnd.
  [[nodiscard]] std::optional<FlowKey> TakeEnded();

  [[nodiscard]] std::size_t learned() const noexcept { return learned_.size(); }

 private:
  LearnedTable learned_;
  Duration learned_lifetime_;
  RetransmissionDetector retransmissions_;
  std::optional<FlowKey> ended_flow_;
};

}  // namespace sapphirestream

#endif  // SAPPHIRESTREAM_FLOW_FAST_PATH_H_
