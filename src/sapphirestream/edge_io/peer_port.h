// UDP socket for messages between instances.
#ifndef SAPPHIRESTREAM_EDGE_IO_PEER_PORT_H_
#define SAPPHIRESTREAM_EDGE_IO_PEER_PORT_H_

#include <array>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/udp.hpp>
#include <boost/system/error_code.hpp>
#include <cstddef>
#include <functional>
#include <memory>
#include <span>
#include <string_view>

#include "sapphirestream/base/clock.h"
#include "sapphirestream/base/counter.h"
#include "sapphirestream/base/endpoint.h"
#include "sapphirestream/base/error.h"
#include "sapphirestream/base/event_log.h"
#include "sapphirestream/edge/peer_exchange.h"
#include "sapphirestream/edge/v4_endpoint.h"

namespace sapphirestream {

class PeerPort final : public PeerSink {
 public:
  // Called for each datagram. `age`: time that it has waited in the socket; the
  // kernel records its arrival, so that messages that were queued while the
  // process was not running are recognized.
  using Handler = std::function<void(
      V4Endpoint from, std::span<const std::byte> datagram, Duration age)>;

  // `local` must be an IPv4 address. Errors: kInternal with the system's
  // message. The references must outlive the port.
  [[nodiscard]] static leaf::result<std::unique_ptr<PeerPort>> Open(
      boost::asio::io_context& context, const Endpoint& local, EventLog& log,
      CounterSet& counters, Handler handler);

  // Starts reading.
  void Start();
  // Never blocks. If the datagram cannot be sent, e.g. because the socket's
  // buffer is full, it is dropped and the error is logged.
  void Send(V4Endpoint to, std::span<const std::byte> datagram) override;
  [[nodiscard]] V4Endpoint local() const noexcept { return local_; }

 private:
  // Larger datagrams are truncated and then fail to decode.
  static constexpr std::size_t kMaxDatagram = kMaxPeerMessageBytes + 1;
  // Maximum number of datagrams read before other events are handled. Exceeds
  // what all neighbors send at the same time.
  static constexpr int kMaxBatch = 64;

  PeerPort(boost::asio::ip::udp::socket socket, V4Endpoint local, EventLog& log,
           CounterSet& counters, Handler handler);
  void Wait();
  void ReadBatch();
  // Returns false if there is no datagram.
  bool ReadOne();
  // `call`: the operation that failed.
  void OnReceiveError(std::string_view call,
                      const boost::system::error_code& error);

  boost::asio::ip::udp::socket socket_;
  const V4Endpoint local_;
  EventLog& log_;
  Handler handler_;
  Counter& send_errors_;
  Counter& receive_errors_;
  std::array<std::byte, kMaxDatagram> in_{};
};

}  // namespace sapphirestream

#endif  // SAPPHIRESTREAM_EDGE_IO_PEER_PORT_H_
