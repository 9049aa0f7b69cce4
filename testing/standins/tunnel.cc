// Geneve encapsulation over a non-blocking UDP socket.
#include "testing/standins/tunnel.h"

#include <boost/asio/buffer.hpp>
#include <boost/asio/ip/address.hpp>
#include <utility>

#include "sapphirestream/link/geneve.h"
#include "sapphirestream/link/packet_builder.h"

namespace sapphirestream::standins {
namespace {

namespace asio = boost::asio;
using Udp = asio::ip::udp;

Udp::endpoint ToAsio(const Endpoint& endpoint) {
  return {asio::ip::make_address(ToString(endpoint.address)), endpoint.port};
}

Endpoint FromAsio(const Udp::endpoint& endpoint) {
  const auto b = endpoint.address().to_v4().to_bytes();
  return {MakeV4(b[0], b[1], b[2], b[3]), endpoint.port()};
}

}  // namespace

Tunnel::Tunnel(asio::io_context& io, const Endpoint& local, Receiver receiver)
    : socket_(io, ToAsio(local)), receiver_(std::move(receiver)) {
  socket_.non_blocking(true);
  socket_.set_option(asio::socket_base::receive_buffer_size(4 << 20));
  Receive();
}

void Tunnel::Send(const Endpoint& to, ServiceId service,
                  const Segment& segment) {
  SendBytes(to, EncapsulateInGeneve(service, BuildSegment(segment)));
}

void Tunnel::SendBytes(const Endpoint& to, std::span<const std::byte> bytes) {
  boost::system::error_code ignored;
  socket_.send_to(asio::buffer(bytes.data(), bytes.size()), ToAsio(to), 0,
                  ignored);
}

void Tunnel::Receive() {
  socket_.async_receive_from(
      asio::buffer(buffer_), from_,
      [this](boost::system::error_code error, std::size_t size) {
        if (error == asio::error::operation_aborted) return;
        if (!error) OnDatagram(std::span(buffer_).first(size));
        Receive();
      });
}

void Tunnel::OnDatagram(std::span<const std::byte> datagram) {
  GeneveHeader header;
  if (DecodeGeneve(datagram, header) != ErrorKind::kNone) return;
  const auto segment =
      ParseSegment(datagram.subspan(header.size), header.service);
  if (segment) receiver_(FromAsio(from_), header.service, *segment);
}

}  // namespace sapphirestream::standins
