// The fabric and all clients: sprays the packets of each flow over the live
// instances and counts what becomes of flows and orders.
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
  // Long-lived flows are opened in turn from these.
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
  // Times that a refused order is tried again, each over a new connection.
  static constexpr std::uint32_t kMaxTries = 5;
  static constexpr Duration kRetryAfter = std::chrono::milliseconds(200);
  // Answered orders whose times are kept.
  static constexpr std::size_t kMaxTimes = 200'000;
  static constexpr std::uint64_t kMaxLogged = 200;

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
  void OpenDue(TimePoint now);
  void Open(const FlowProfile& profile, std::uint64_t number, TimePoint now);
  void OnSegment(const Endpoint& from, ServiceId service,
                 const Segment& segment);
  void Serve(const FlowKey& key, ClientFlow& flow, TimePoint now);
  // Writes one line about a flow that broke, at most kMaxLogged in a run.
  void LogBroken(const ClientFlow& flow);
  void Settle(const ClientFlow& flow, TimePoint now);
  void SettleOrder(const ClientFlow& flow, TimePoint now);
  void SetFabric(const HttpRequest& request, const HttpReply& reply);
  [[nodiscard]] boost::json::value Stats() const;

  LoadSettings settings_;
  SeededRandom random_;
  boost::asio::steady_timer timer_;
  Tunnel tunnel_;
  TimePoint started_;
  bool finishing_ = false;
  // Addresses of all instances ever in the fabric; tell a refusal from a
  // target's reset.
  std::set<IpAddress> instance_addresses_;
  std::unordered_map<FlowKey, ClientFlow, FlowKeyHash> flows_;
  std::priority_queue<Due, std::vector<Due>, std::greater<>> due_;
  // In the order of their times, since the delay is constant.
  std::deque<Retry> retries_;
  std::unordered_map<std::uint64_t, std::uint32_t> tries_;
  // Orders that an instance reset and that were not sent again.
  std::vector<std::uint64_t> told_not_run_;
  std::vector<double> order_ms_;
  std::uint64_t next_client_ = 0;
  std::uint64_t long_flows_wanted_ = 0;
  std::uint64_t orders_wanted_ = 0;
  std::unordered_map<ServiceId, FlowCounts> long_counts_;
  OrderCounts order_counts_;
  std::uint64_t packets_sent_ = 0;
  std::uint64_t repeats_ = 0;
  std::uint64_t logged_ = 0;
};

}  // namespace sapphirestream::standins

#endif  // SAPPHIRESTREAM_TESTING_STANDINS_LOAD_PROCESS_H_
