// The target side of all connections, without sockets: accepts connections,
// runs orders in a limited number of slots, and detects packets at a wrong
// target.
#ifndef SAPPHIRESTREAM_TESTING_STANDINS_TARGET_PEER_H_
#define SAPPHIRESTREAM_TESTING_STANDINS_TARGET_PEER_H_

#include <cstddef>
#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <unordered_map>
#include <utility>
#include <vector>

#include "sapphirestream/base/clock.h"
#include "sapphirestream/flow/flow_key.h"
#include "testing/standins/segment.h"

namespace sapphirestream::standins {

struct FlowKeyHash {
  std::size_t operator()(const FlowKey& key) const noexcept {
    return HashFlow(key);
  }
};

class TargetPeers {
 public:
  struct Options {
    std::size_t targets = 1;
    std::uint32_t slots = 2;
    Duration service_time = std::chrono::milliseconds(20);
    // Maximum number of connections, including closed ones; further ones are
    // ignored.
    std::size_t max_connections = 200'000;
  };
  // Sends a packet from a target to a client.
  using Sender = std::function<void(std::size_t target, ServiceId service,
                                    const Segment& segment)>;

  struct Totals {
    // Packets that reached a target other than the flow's first one.
    std::uint64_t misplaced_packets = 0;
    std::uint64_t resets = 0;
    std::uint64_t orders_run = 0;
    // Runs of orders beyond the first.
    std::uint64_t orders_repeated = 0;
    std::uint64_t ignored = 0;
  };

  struct Load {
    std::uint32_t open = 0;
    std::uint32_t busy = 0;
    // Connections whose orders wait for a slot.
    std::deque<FlowKey> waiting;
    std::uint64_t orders_run = 0;
    std::uint32_t max_waiting = 0;
    std::map<ServiceId, std::uint32_t> open_by_service;
  };

  TargetPeers(const Options& options, Sender sender);

  void OnSegment(std::size_t target, ServiceId service, const Segment& segment,
                 TimePoint now);
  // Completes orders whose processing time has passed. Must be called every few
  // milliseconds.
  void OnTimer(TimePoint now);

  [[nodiscard]] const std::vector<Load>& loads() const noexcept {
    return loads_;
  }
  [[nodiscard]] const Totals& totals() const noexcept { return totals_; }
  // Number of runs of each order, by id.
  [[nodiscard]] const std::unordered_map<std::uint64_t, std::uint32_t>& runs()
      const noexcept {
    return runs_;
  }

 private:
  struct Connection {
    std::size_t target = 0;
    bool closed = false;
    Endpoint client;
    Endpoint server;
    // Sequence numbers of the next byte to receive and to send.
    std::uint32_t expected = 0;
    std::uint32_t next = 0;
    std::uint64_t order = 0;
    bool order_done = false;
    // The last answer, resent when the client retransmits its part.
    std::uint64_t answered = 0;
  };
  struct Running {
    TimePoint until;
    FlowKey key;
  };

  void Open(std::size_t target, const FlowKey& key, const Segment& segment);
  void OnData(const FlowKey& key, Connection& connection,
              const Segment& segment, TimePoint now);
  void Run(const FlowKey& key, Connection& connection, TimePoint now);
  void Finish(const FlowKey& key, TimePoint now);
  void Close(const FlowKey& key, Connection& connection);
  // Sends a segment with the given flags from the connection's target.
  void Answer(const FlowKey& key, const Connection& connection,
              Segment segment) const;
  void Reset(std::size_t target, const FlowKey& key, const Segment& segment);

  Options options_;
  Sender sender_;
  std::vector<Load> loads_;
  std::unordered_map<FlowKey, Connection, FlowKeyHash> connections_;
  // Ordered by completion time, since the service time is constant.
  std::deque<Running> running_;
  std::unordered_map<std::uint64_t, std::uint32_t> runs_;
  Totals totals_;
};

}  // namespace sapphirestream::standins

#endif  // SAPPHIRESTREAM_TESTING_STANDINS_TARGET_PEER_H_
