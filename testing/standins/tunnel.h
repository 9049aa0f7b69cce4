// Geneve tunnel over a UDP socket, for the target and load stand-ins.
#ifndef SAPPHIRESTREAM_TESTING_STANDINS_TUNNEL_H_
#define SAPPHIRESTREAM_TESTING_STANDINS_TUNNEL_H_

#include <array>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/udp.hpp>
#include <cstddef>
#include <functional>
#include <span>

#include "sapphirestream/base/endpoint.h"
#include "sapphirestream/base/id.h"
#include "testing/standins/segment.h"

namespace sapphirestream::standins {

class Tunnel {
 public:
  using Receiver = std::function<void(const Endpoint& from, ServiceId service,
                                      const Segment& segment)>;

  // Binds to `local`. Throws boost::system::system_error on failure.
  Tunnel(boost::asio::io_context& io, const Endpoint& local, Receiver receiver);
  Tunnel(const Tunnel&) = delete;
  Tunnel& operator=(const Tunnel&) = delete;

  // Sends an inner packet. It is dropped if the socket buffer is full, as on a
  // real network.
  void Send(const Endpoint& to, ServiceId service, const Segment& segment);
  // Sends bytes without Geneve encapsulation.
  void SendBytes(const Endpoint& to, std::span<const std::byte> bytes);

 private:
  void Receive();
  void OnDatagram(std::span<const std::byte> datagram);

  boost::asio::ip::udp::socket socket_;
  boost::asio::ip::udp::endpoint from_;
  std::array<std::byte, 65'536> buffer_;
  Receiver receiver_;
};

}  // namespace sapphirestream::standins

#endif  // SAPPHIRESTREAM_TESTING_STANDINS_TUNNEL_H_
