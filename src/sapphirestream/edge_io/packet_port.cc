#include "sapphirestream/edge_io/packet_port.h"

#include <boost/asio/buffer.hpp>
#include <utility>

namespace sapphirestream {

namespace asio = boost::asio;
using asio::ip::udp;
using boost::system::error_code;

leaf::result<std::unique_ptr<PacketPort>> PacketPort::Open(
    asio::io_context& context, const Endpoint& local,
    const PacketFormat& format, CounterSet& counters, Handler handler) {
  error_code error;
  udp::socket socket(context);
  socket.open(udp::v4(), error);
  if (!error) socket.non_blocking(true, error);
  if (!error) {
    socket.bind({asio::ip::make_address(ToString(local.address)), local.port},
                error);
  }
  if (error) {
    return MakeError(ErrorKind::kInternal,
                     "bind " + ToString(local) + ": " + error.message());
  }
  std::unique_ptr<PacketPort> port(
      new PacketPort(std::move(socket), format, counters, std::move(handler)));
  return port;
}

void PacketPort::Start() {
  if (std::exchange(started_, true)) return;
  Wait();
}

PacketPort::PacketPort(udp::socket socket, const PacketFormat& format,
                       CounterSet& counters, Handler handler)
    : socket_(std::move(socket)),
      format_(format),
      handler_(std::move(handler)),
      received_(counters.Emplace("packets_received_total")),
      malformed_(counters.Emplace("packets_malformed_total")),
      send_errors_(counters.Emplace("packets_send_errors_total")),
      local_port_(socket_.local_endpoint().port()) {}

void PacketPort::Wait() {
  socket_.async_wait(udp::socket::wait_read, [this](const error_code& error) {
    if (error == asio::error::operation_aborted) return;
    ReadBatch();
    Wait();
  });
}

void PacketPort::ReadBatch() {
  for (int i = 0; i < kMaxBatch; ++i) {
    udp::endpoint from;
    error_code error;
    const std::size_t size =
        socket_.receive_from(asio::buffer(in_), from, 0, error);
    if (error == asio::error::would_block) return;
    // Also reports ICMP errors caused by datagrams sent earlier.
    if (error) continue;
    received_.Add();
    const auto packet = format_.Decode({in_.data(), size});
    if (!packet) {
      malformed_.Add();
      continue;
    }
    handler_(*packet);
  }
}

void PacketPort::Send(TargetKey target, V4Endpoint address,
                      std::span<const std::byte> packet,
                      std::optional<FlowToken> token) {
  const std::size_t size = format_.Encode(target, packet, token, out_);
  SendTo({out_.data(), size}, address);
}

void PacketPort::SendReset(const ClientReset& reset) {
  const std::size_t size = format_.EncodeReset(reset, out_);
  SendTo({out_.data(), size}, {reset.client.address, local_port_});
}

void PacketPort::SendTo(std::span<const std::byte> datagram, V4Endpoint to) {
  error_code error;
  socket_.send_to(asio::buffer(datagram.data(), datagram.size()),
                  {asio::ip::address_v4(to.address), to.port}, 0, error);
  if (error) send_errors_.Add();
}

}  // namespace sapphirestream
