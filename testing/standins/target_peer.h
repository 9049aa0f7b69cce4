// The endpoints of all targets, without sockets: they answer connections, run
// orders in a limited number of slots, and notice packets at a wrong target.
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
    // Connections kept at most, closed ones included; more are ignored.
    std::size_t max_connections = 200'000;
  };
  // Sends a packet from a target to a client.
  using Sender = std::function<void(std::size_t target, ServiceId service,
                                    const Segment& segment)>;

  struct Totals {
    // Packets that reached another target than the flow's first one.
    std::uint64_t misplaced_packets = 0;
    std::uint64_t resets = 0;
    std::uint64_t orders_run = 0;
    // Runs of an order beyond its first one.
    std::uint64_t orders_repeated = 0;
    std::uint64_t ignored = 0;
  };

  struct Load {
    std::uint32_t open = 0;
    std::uint32_t busy = 0;
    // Orders that wait for a slot.
    std::deque<FlowKey> waiting;
    std::uint64_t orders_run = 0;
    std::uint32_t max_waiting = 0;
    std::map<ServiceId, std::uint32_t> open_by_service;
  };

  TargetPeers(const Options& options, Sender sender);

  void OnSegment(std::size_t target, ServiceId service, const Segment& segment,
                 TimePoint now);
  // Ends orders whose time is over; call every few milliseconds.
  void OnTimer(TimePoint now);

  [[nodiscard]] const std::vector<Load>& loads() const noexcept {
    return loads_;
  }
  [[nodiscard]] const Totals& totals() const noexcept { return totals_; }
  // Runs of each order by id.
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
    // Next expected and next sent byte.
    std::uint32_t expected = 0;
    std::uint32_t next = 0;
    std::uint64_t order = 0;
    bool order_done = false;
    // The last answer, repeated when the client repeats its part.
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
  // In the order of their ends, since the service time is constant.
  std::deque<Running> running_;
  std::unordered_map<std::uint64_t, std::uint32_t> runs_;
  Totals totals_;
};

}  // namespace sapphirestream::standins

#endif  // SAPPHIRESTREAM_TESTING_STANDINS_TARGET_PEER_H_
