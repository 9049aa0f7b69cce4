#include "sapphirestream/edge_io/peer_port.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <sys/uio.h>

#include <algorithm>
#include <boost/asio/buffer.hpp>
#include <cerrno>
#include <chrono>
#include <cstring>
#include <ctime>
#include <utility>

namespace sapphirestream {

namespace asio = boost::asio;
using asio::ip::udp;
using boost::system::error_code;

namespace {

// Makes the kernel record when datagrams arrive.
error_code EnableTimestamps(udp::socket& socket) {
  const int on = 1;
  if (::setsockopt(socket.native_handle(), SOL_SOCKET, SO_TIMESTAMPNS, &on,
                   sizeof(on)) == 0) {
    return {};
  }
  return {errno, boost::system::system_category()};
}

Duration SinceEpoch(const std::timespec& time) {
  return std::chrono::seconds(time.tv_sec) +
         std::chrono::nanoseconds(time.tv_nsec);
}

// Returns how long ago a datagram arrived; zero if unknown, or if the time of
// day was set back meanwhile.
Duration AgeOf(const msghdr& header) {
  for (cmsghdr* item = CMSG_FIRSTHDR(&header); item != nullptr;
       item = CMSG_NXTHDR(const_cast<msghdr*>(&header), item)) {
    if (item->cmsg_level != SOL_SOCKET || item->cmsg_type != SCM_TIMESTAMPNS) {
      continue;
    }
    std::timespec arrived{};
    std::memcpy(&arrived, CMSG_DATA(item), sizeof(arrived));
    std::timespec now{};
    if (::clock_gettime(CLOCK_REALTIME, &now) != 0) break;
    return std::max(Duration::zero(), SinceEpoch(now) - SinceEpoch(arrived));
  }
  return Duration::zero();
}

}  // namespace

leaf::result<std::unique_ptr<PeerPort>> PeerPort::Open(
    asio::io_context& context, const Endpoint& local, EventLog& log,
    CounterSet& counters, Handler handler) {
  error_code error;
  udp::socket socket(context);
  socket.open(udp::v4(), error);
  if (!error) socket.non_blocking(true, error);
  if (!error) error = EnableTimestamps(socket);
  if (!error) {
    socket.bind({asio::ip::make_address(ToString(local.address)), local.port},
                error);
  }
  udp::endpoint bound;
  if (!error) bound = socket.local_endpoint(error);
  if (error) {
    return MakeError(
        ErrorKind::kInternal,
        "open UDP socket on " + ToString(local) + ": " + error.message());
  }
  std::unique_ptr<PeerPort> port(new PeerPort(
      std::move(socket), {bound.address().to_v4().to_uint(), bound.port()}, log,
      counters, std::move(handler)));
  return port;
}

PeerPort::PeerPort(udp::socket socket, V4Endpoint local, EventLog& log,
                   CounterSet& counters, Handler handler)
    : socket_(std::move(socket)),
      local_(local),
      log_(log),
      handler_(std::move(handler)),
      send_errors_(counters.Emplace("peer_send_failures_total")),
      receive_errors_(counters.Emplace("peer_receive_failures_total")) {}

void PeerPort::Start() { Wait(); }

void PeerPort::Wait() {
  socket_.async_wait(udp::socket::wait_read, [this](const error_code& error) {
    if (error == asio::error::operation_aborted) return;
    if (error) OnReceiveError("wait", error);
    ReadBatch();
    Wait();
  });
}

void PeerPort::ReadBatch() {
  for (int i = 0; i < kMaxBatch; ++i) {
    if (!ReadOne()) return;
  }
}

bool PeerPort::ReadOne() {
  sockaddr_in from{};
  iovec buffer{in_.data(), in_.size()};
  alignas(cmsghdr) std::array<std::byte, 64> control{};
  msghdr header{};
  header.msg_name = &from;
  header.msg_namelen = sizeof(from);
  header.msg_iov = &buffer;
  header.msg_iovlen = 1;
  header.msg_control = control.data();
  header.msg_controllen = control.size();
  const ssize_t size = ::recvmsg(socket_.native_handle(), &header, 0);
  if (size < 0) {
    if (errno == EAGAIN || errno == EWOULDBLOCK) return false;
    OnReceiveError("recvmsg", {errno, boost::system::system_category()});
    return true;
  }
  handler_({ntohl(from.sin_addr.s_addr), ntohs(from.sin_port)},
           {in_.data(), static_cast<std::size_t>(size)}, AgeOf(header));
  return true;
}

void PeerPort::OnReceiveError(std::string_view call, const error_code& error) {
  receive_errors_.Add();
  log_.Write(LogLevel::kWarn, "peer_receive_failed",
             {{"call", call}, {"error", error.message()}});
}

void PeerPort::Send(V4Endpoint to, std::span<const std::byte> datagram) {
  error_code error;
  socket_.send_to(asio::buffer(datagram.data(), datagram.size()),
                  {asio::ip::address_v4(to.address), to.port}, 0, error);
  if (!error) return;
  send_errors_.Add();
  log_.Write(LogLevel::kWarn, "peer_send_failed",
             {{"to", ToString(to)}, {"error", error.message()}});
}

}  // namespace sapphirestream
