// A bound UDP socket.
#include "sapphirestream/instance/udp_socket.h"

#include <sys/time.h>

#include <cerrno>
#include <cstring>
#include <string>

namespace sapphirestream {
namespace {

leaf::error_id SystemError(const char* call, const Endpoint& local) {
  return MakeError(
      ErrorKind::kInternal,
      std::string(call) + " " + ToString(local) + ": " + std::strerror(errno));
}

}  // namespace

leaf::result<UdpSocket> UdpSocket::Open(const Options& options) {
  const sa_family_t family = FamilyOf(options.local.address);
  FileDescriptor fd(::socket(family, SOCK_DGRAM | SOCK_CLOEXEC, 0));
  if (!fd.is_open()) return SystemError("socket", options.local);
  const int on = 1;
  if (options.reuse_port &&
      ::setsockopt(fd.get(), SOL_SOCKET, SO_REUSEPORT, &on, sizeof(on)) != 0) {
    return SystemError("setsockopt SO_REUSEPORT", options.local);
  }
  // Not fatal: the kernel caps the sizes, and a smaller buffer only drops
  // bursts earlier.
  for (const int name : {SO_RCVBUF, SO_SNDBUF}) {
    (void)::setsockopt(fd.get(), SOL_SOCKET, name, &options.buffer_size,
                       sizeof(options.buffer_size));
  }
  if (options.receive_timeout_ms > 0) {
    const timeval timeout{.tv_sec = options.receive_timeout_ms / 1000,
                          .tv_usec = options.receive_timeout_ms % 1000 * 1000L};
    if (::setsockopt(fd.get(), SOL_SOCKET, SO_RCVTIMEO, &timeout,
                     sizeof(timeout)) != 0) {
      return SystemError("setsockopt SO_RCVTIMEO", options.local);
    }
  }
  SocketAddress address;
  const socklen_t size = ToSocketAddress(options.local, family, address);
  if (::bind(fd.get(), &address.base, size) != 0) {
    return SystemError("bind", options.local);
  }
  return UdpSocket(std::move(fd), family);
}

Endpoint UdpSocket::local() const noexcept {
  SocketAddress address{};
  socklen_t size = sizeof(address);
  (void)::getsockname(fd_.get(), &address.base, &size);
  return FromSocketAddress(address);
}

bool UdpSocket::SendTo(const Endpoint& to,
                       std::span<const std::byte> datagram) const noexcept {
  SocketAddress address;
  const socklen_t size = ToSocketAddress(to, family_, address);
  if (size == 0) return false;
  return ::sendto(fd_.get(), datagram.data(), datagram.size(), MSG_DONTWAIT,
                  &address.base,
                  size) == static_cast<std::ptrdiff_t>(datagram.size());
}

std::ptrdiff_t UdpSocket::ReceiveFrom(std::span<std::byte> buffer,
                                      Endpoint& from) const noexcept {
  SocketAddress address{};
  socklen_t size = sizeof(address);
  const std::ptrdiff_t received =
      ::recvfrom(fd_.get(), buffer.data(), buffer.size(), MSG_DONTWAIT,
                 &address.base, &size);
  if (received >= 0) from = FromSocketAddress(address);
  return received;
}

}  // namespace sapphirestream
