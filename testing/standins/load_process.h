// The fabric and all clients: sprays the packets of each flow over the live
// instances and counts the outcomes of flows and orders.
#ifndef SAPPHIRESTREAM_TESTING_STANDINS_LOAD_PROCESS_H_
#define SAPPHIRESTREAM_TESTING_STANDINS_LOAD_PROCESS_H_

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/json/value.hpp>
#include <cstdint>
#include <deque>
#include <queue>
#include <set>
#include <unordered_map>
#include <vector>

#include "sapphirestream/base/random.h"
#include "testing/standins/client_flow.h"
#include "testing/standins/http_server.h"
#include "testing/standins/target_peer.h"
#include "testing/standins/tunnel.h"

namespace sapphirestream::standins {

struct LoadSettings {
  Endpoint listen;
  std::vector<Endpoint> instances;
  // Profiles of the long-lived flows, used in rotation.
  std::vector<FlowProfile> long_flows;
  FlowProfile orders;
  std::uint64_t flows = 300;
  std::uint64_t flows_per_second = 200;
  std::uint64_t orders_per_second = 50;
  std::uint64_t seed = 1;
};

class LoadProcess {
 public:
  LoadProcess(boost::asio::io_context& io, LoadSettings settings);

  // GET /stats, GET /refused, PUT /fabric, POST /finish.
  void Handle(const HttpRequest& request, const HttpReply& reply);

 private:
  // Refusals after which an order is given up. Each retry uses a new
  // connection.
  static constexpr std::uint32_t kMaxRefusals = 5;
  static constexpr Duration kRetryDelay = std::chrono::milliseconds(200);
  // Maximum number of stored order latencies.
  static constexpr std::size_t kMaxLatencies = 200'000;
  static constexpr std::uint64_t kMaxLoggedFlows = 200;

  struct FlowCounts {
    std::uint64_t opened = 0;
    std::uint64_t refused = 0;
    std::uint64_t reset = 0;
    std::uint64_t moved = 0;
    std::uint64_t silent = 0;
  };
  struct OrderCounts {
    std::uint64_t sent = 0;
    std::uint64_t answered = 0;
    std::uint64_t refusals = 0;
    std::uint64_t given_up = 0;
    std::uint64_t failed = 0;
    std::uint64_t unanswered = 0;
  };
  struct Due {
    TimePoint at;
    FlowKey key;
    bool operator>(const Due& other) const noexcept { return at > other.at; }
  };
  struct Retry {
    TimePoint at;
    std::uint64_t order = 0;
  };

  void Tick();
  void OpenDueFlows(TimePoint now);
  void Open(const FlowProfile& profile, std::uint64_t number, TimePoint now);
  void OnSegment(const Endpoint& from, ServiceId service,
                 const Segment& segment);
  void SendDue(const FlowKey& key, ClientFlow& flow, TimePoint now);
  // Logs a broken flow; at most kMaxLoggedFlows lines per run.
  void LogBrokenFlow(const ClientFlow& flow);
  // Counts the outcome of a flow that has ended.
  void Record(const ClientFlow& flow, TimePoint now);
  void RecordOrder(const ClientFlow& flow, TimePoint now);
  void SetFabric(const HttpRequest& request, const HttpReply& reply);
  [[nodiscard]] boost::json::value Stats() const;

  LoadSettings settings_;
  SeededRandom random_;
  boost::asio::steady_timer timer_;
  Tunnel tunnel_;
  TimePoint started_;
  bool finishing_ = false;
  // Addresses of all instances that were ever in the fabric; used to
  // distinguish a refusal from a reset by a target.
  std::set<IpAddress> instance_addresses_;
  std::unordered_map<FlowKey, ClientFlow, FlowKeyHash> flows_;
  std::priority_queue<Due, std::vector<Due>, std::greater<>> due_;
  // Ordered by time, since the delay is constant.
  std::deque<Retry> retries_;
  std::unordered_map<std::uint64_t, std::uint32_t> refusals_by_order_;
  // Orders that were refused or reset by an instance and not sent again.
  std::vector<std::uint64_t> told_not_run_;
  std::vector<double> order_latencies_ms_;
  std::uint64_t next_client_ = 0;
  std::uint64_t long_flows_started_ = 0;
  std::uint64_t orders_started_ = 0;
  std::unordered_map<ServiceId, FlowCounts> long_counts_;
  OrderCounts order_counts_;
  std::uint64_t packets_sent_ = 0;
  std::uint64_t retransmissions_ = 0;
  std::uint64_t logged_flows_ = 0;
};

}  // namespace sapphirestream::standins

#endif  // SAPPHIRESTREAM_TESTING_STANDINS_LOAD_PROCESS_H_
