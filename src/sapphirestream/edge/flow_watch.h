// What this instance saw of flows lately. Carrying a flow does not need it:
// evictions and moves of flows between instances only cost knowledge of load
// and of lost targets.
#ifndef SAPPHIRESTREAM_EDGE_FLOW_WATCH_H_
#define SAPPHIRESTREAM_EDGE_FLOW_WATCH_H_

#include <cstddef>
#include <cstdint>
#include <vector>

#include "sapphirestream/base/clock.h"
#include "sapphirestream/edge/edge_packet.h"
#include "sapphirestream/edge/fwd.h"

namespace sapphirestream {

enum class FlowPhase : std::uint8_t {
  kNone,     // the slot is free
  kOpening,  // the client has not answered a target yet
  kOpen,
};

struct WatchedFlow {
  V4Endpoint client;
  V4Endpoint service;
  TargetKey target{};
  TimePoint last_seen{};
  // When the request that waits for an answer was sent first.
  TimePoint waiting_since{};
  // When the client's latest new bytes came.
  TimePoint last_data{};
  // Where the client's bytes sent so far end.
  std::uint32_t sequence_end = 0;
  std::uint32_t acknowledged = 0;
  FlowPhase phase = FlowPhase::kNone;
  // Whether a request waits for its answer, as far as this instance saw.
  bool waiting = false;
  // Whether that request counts as load of its target.
  bool counted = false;
  // Copies of packets since the last progress.
  std::uint8_t repeats = 0;
  // Whether two targets got its opening packet.
  bool moved = false;
};

// Set-associative, of fixed size; the oldest flow of a set gives way.
class FlowWatch {
 public:
  static constexpr std::size_t kWays = 8;

  // Rounds up to a power of two, kWays at least.
  explicit FlowWatch(std::size_t capacity);

  // Returns the flow of these ends, or null.
  [[nodiscard]] WatchedFlow* Find(V4Endpoint client,
                                  V4Endpoint service) noexcept;
  // Returns a free slot for a flow that is not there; `evicted` gets what was
  // in it. The caller sets all fields but the ends.
  [[nodiscard]] WatchedFlow& Emplace(V4Endpoint client, V4Endpoint service,
                                     WatchedFlow& evicted) noexcept;

  template <typename Visitor>
  void ForEach(Visitor visit) {
    for (WatchedFlow& flow : flows_) {
      if (flow.phase != FlowPhase::kNone) visit(flow);
    }
  }
  [[nodiscard]] std::size_t capacity() const noexcept { return flows_.size(); }

 private:
  [[nodiscard]] WatchedFlow* SetOf(V4Endpoint client,
                                   V4Endpoint service) noexcept;

  std::vector<WatchedFlow> flows_;
};

// Hash of a flow that all instances compute alike.
[[nodiscard]] std::uint64_t FlowHash(V4Endpoint client,
                                     V4Endpoint service) noexcept;

}  // namespace sapphirestream

#endif  // SAPPHIRESTREAM_EDGE_FLOW_WATCH_H_
