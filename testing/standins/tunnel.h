// Geneve datagrams on a UDP socket, for the stand-ins of target and fabric.
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

  // Binds to `local`. Throws boost::system::system_error if it cannot.
  Tunnel(boost::asio::io_context& io, const Endpoint& local, Receiver receiver);
  Tunnel(const Tunnel&) = delete;
  Tunnel& operator=(const Tunnel&) = delete;

  // Sends an inner packet; a full socket buffer loses it, as a network would.
  void Send(const Endpoint& to, ServiceId service, const Segment& segment);
  // Sends bytes that are no Geneve packet.
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
