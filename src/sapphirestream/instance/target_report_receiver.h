// Receives load reports from targets. Each report is one small JSON datagram,
// such as {"target": "127.0.1.4:6081", "busy": 1, "open": 20,
// "shedding": false}, sent from the address of the target's tunnel.
#ifndef SAPPHIRESTREAM_INSTANCE_TARGET_REPORT_RECEIVER_H_
#define SAPPHIRESTREAM_INSTANCE_TARGET_REPORT_RECEIVER_H_

#include <boost/asio/io_context.hpp>
#include <boost/asio/posix/stream_descriptor.hpp>
#include <cstdint>
#include <functional>
#include <memory>
#include <string_view>
#include <vector>

#include "sapphirestream/base/counter.h"
#include "sapphirestream/base/endpoint.h"
#include "sapphirestream/base/error.h"
#include "sapphirestream/instance/udp_socket.h"

namespace sapphirestream {

struct TargetReport {
  Endpoint tunnel;
  std::uint32_t busy_slots = 0;
  std::uint32_t open_connections = 0;
  bool shedding = false;

  bool operator==(const TargetReport&) const = default;
};

// Parses a report. Errors: kMalformedJson, kUnknownField, kWrongType,
// kOutOfRange.
[[nodiscard]] leaf::result<TargetReport> ParseTargetReport(
    std::string_view text);

class TargetReportReceiver {
 public:
  using Handler = std::function<void(const TargetReport&)>;

  // Errors: kInternal if the socket cannot be opened.
  [[nodiscard]] static leaf::result<std::unique_ptr<TargetReportReceiver>> Open(
      boost::asio::io_context& io, const Endpoint& local, CounterSet& counters);

  void Start(Handler handler);
  [[nodiscard]] Endpoint local() const noexcept { return socket_.local(); }

 private:
  TargetReportReceiver(boost::asio::io_context& io, UdpSocket socket,
                       CounterSet& counters);
  void AwaitDatagrams();
  void ReceiveDatagrams();

  UdpSocket socket_;
  boost::asio::posix::stream_descriptor readable_;
  Handler handler_;
  Counter& accepted_;
  Counter& refused_;
};

}  // namespace sapphirestream

#endif  // SAPPHIRESTREAM_INSTANCE_TARGET_REPORT_RECEIVER_H_
