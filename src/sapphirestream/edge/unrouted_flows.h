// Decides when a flow is reset because its address has no route.
//
// The routes that an instance has read may be older than a flow: a packet of an
// open flow shows that some instance has read a version with its route, which
// may be later than the own one. So a flow is reset only if the own routes are
// complete up to a time at which the flow was known to be open. Its route was
// then dropped by a version that is later than the flow. See
// docs/design/missing-routes.md.
#ifndef SAPPHIRESTREAM_EDGE_UNROUTED_FLOWS_H_
#define SAPPHIRESTREAM_EDGE_UNROUTED_FLOWS_H_

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <string>
#include <unordered_map>
#include <vector>

#include "sapphirestream/base/clock.h"
#include "sapphirestream/edge/fwd.h"
#include "sapphirestream/edge/v4_endpoint.h"

namespace sapphirestream {

// A flow, or a copy of an opening packet, for an address without a route.
struct UnroutedFlow {
  V4Endpoint client;
  V4Endpoint service;
  // When a packet first showed that the flow is open, or when the copy of its
  // opening packet arrived.
  TimePoint known_since;
  // When its latest packet arrived.
  TimePoint last_seen;
  // Sequence number of its reset; see ClientReset.
  std::uint32_t reset_sequence = 0;
  bool opens = false;
  // Id of the request that started in its latest packet, for the log.
  std::string request_id{};
};

// Whether a flow's route was dropped by a version that is later than the flow.
// The routes lack the flow's address, and contain every change that was
// acknowledged before `routes_complete_until`.
[[nodiscard]] constexpr bool IsRouteDropped(
    TimePoint known_since, TimePoint routes_complete_until) noexcept {
  return routes_complete_until != TimePoint{} &&
         known_since <= routes_complete_until;
}

// The flows that wait until the routes are complete for a later time.
class UnroutedFlows {
 public:
  // Flows that wait at most. The packets of others are lost, and wait when
  // their client sends them again.
  static constexpr std::size_t kMaxSize = 4096;
  // A flow without a packet for this time no longer waits: a client that
  // expects an answer has retransmitted by then, and one that has given up may
  // use the port for another flow.
  static constexpr Duration kMaxSilence = std::chrono::seconds(2);

  // Adds a flow, or replaces what is known of it. Returns false if there is no
  // room for it.
  bool Insert(UnroutedFlow flow);
  // Removes and returns the flows that no longer have to wait, the one that was
  // known first at the front: those that have a route by now, and those whose
  // route was dropped. Removes silent flows as well.
  [[nodiscard]] std::vector<UnroutedFlow> Take(const RouteTable& routes,
                                               TimePoint routes_complete_until,
                                               TimePoint now);
  [[nodiscard]] std::size_t size() const noexcept { return flows_.size(); }

 private:
  struct Key {
    V4Endpoint client;
    V4Endpoint service;

    bool operator==(const Key&) const = default;
  };
  struct KeyHash {
    std::size_t operator()(const Key& key) const noexcept;
  };

  // At most kMaxSize.
  std::unordered_map<Key, UnroutedFlow, KeyHash> flows_;
};

}  // namespace sapphirestream

#endif  // SAPPHIRESTREAM_EDGE_UNROUTED_FLOWS_H_
