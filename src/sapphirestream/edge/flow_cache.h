// Recent state of the flows seen by this instance. Forwarding does not depend
// on it: when an entry is evicted, or a flow moves to another instance, only
// load accounting and failure detection lose information.
#ifndef SAPPHIRESTREAM_EDGE_FLOW_CACHE_H_
#define SAPPHIRESTREAM_EDGE_FLOW_CACHE_H_

#include <cstddef>
#include <cstdint>
#include <vector>

#include "sapphirestream/base/clock.h"
#include "sapphirestream/edge/edge_packet.h"
#include "sapphirestream/edge/fwd.h"

namespace sapphirestream {

enum class FlowPhase : std::uint8_t {
  kNone,     // the slot is free
  kOpening,  // the client has not acknowledged a target's answer yet
  kOpen,
};

struct CachedFlow {
  V4Endpoint client;
  V4Endpoint service;
  TargetKey target{};
  TimePoint last_seen{};
  // When the pending request was first sent.
  TimePoint waiting_since{};
  // When new data last arrived from the client.
  TimePoint last_data{};
  // When a packet first showed that the flow is open; unset before.
  TimePoint open_since{};
  // Sequence number after the last byte that the client sent.
  std::uint32_t sequence_end = 0;
  std::uint32_t acknowledged = 0;
  // Acknowledgement number when the pending request was sent.
  std::uint32_t answer_begin = 0;
  // When the client first acknowledged the answer to the last request; unset
  // until then, and once the request has been reported.
  TimePoint answered_at{};
  FlowPhase phase = FlowPhase::kNone;
  // Whether a request is pending, as far as this instance has seen.
  bool waiting = false;
  // Whether the pending request counts towards its target's load.
  bool counted = false;
  // Retransmissions since the flow last made progress.
  std::uint8_t repeats = 0;
  // Whether the opening packet was sent to a second target.
  bool moved = false;
};

// Whether a packet after the opening belongs to another flow than the cached
// one, which the client has started from the same port. Flows start at a random
// sequence number; this instance may have missed some packets.
[[nodiscard]] bool IsOtherFlow(const EdgePacket& packet,
                               const CachedFlow& flow) noexcept;

// Whether an opening packet is a copy of the one that the cached flow began
// with. The client may have used the same port for an earlier flow.
[[nodiscard]] bool IsOpeningOf(const EdgePacket& packet, const CachedFlow& flow,
                               TimePoint now) noexcept;

// Set-associative cache of fixed size. Evicts the least recently seen flow of a
// set.
class FlowCache {
 public:
  static constexpr std::size_t kWays = 8;

  // Rounds up to a power of two, kWays at least.
  explicit FlowCache(std::size_t capacity);

  // Returns the flow between these endpoints, or null.
  [[nodiscard]] CachedFlow* Find(V4Endpoint client,
                                 V4Endpoint service) noexcept;
  // Adds a flow that is not in the cache. `evicted` receives the previous
  // entry, if there was one. The caller sets all fields but the endpoints.
  [[nodiscard]] CachedFlow& Emplace(V4Endpoint client, V4Endpoint service,
                                    CachedFlow& evicted) noexcept;

  template <typename Visitor>
  void ForEach(Visitor visit) {
    for (CachedFlow& flow : flows_) {
      if (flow.phase != FlowPhase::kNone) visit(flow);
    }
  }
  [[nodiscard]] std::size_t capacity() const noexcept { return flows_.size(); }

 private:
  [[nodiscard]] CachedFlow* SetOf(V4Endpoint client,
                                  V4Endpoint service) noexcept;

  std::vector<CachedFlow> flows_;
};

// Hash of a flow; identical on all instances.
[[nodiscard]] std::uint64_t FlowHash(V4Endpoint client,
                                     V4Endpoint service) noexcept;

}  // namespace sapphirestream

#endif  // SAPPHIRESTREAM_EDGE_FLOW_CACHE_H_
