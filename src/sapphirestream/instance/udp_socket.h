// A bound UDP socket.
#ifndef SAPPHIRESTREAM_INSTANCE_UDP_SOCKET_H_
#define SAPPHIRESTREAM_INSTANCE_UDP_SOCKET_H_

#include <cstddef>
#include <span>

#include "sapphirestream/base/endpoint.h"
#include "sapphirestream/base/error.h"
#include "sapphirestream/base/file_descriptor.h"
#include "sapphirestream/instance/socket_address.h"

namespace sapphirestream {

class UdpSocket {
 public:
  struct Options {
    Endpoint local;
    // Lets several sockets share the address (SO_REUSEPORT); the kernel
    // distributes datagrams among them by sender address.
    bool reuse_port = false;
    // Requested size of both kernel buffers, in bytes.
    int buffer_size = 4 << 20;
    // Maximum time that a receive call blocks; zero means no limit.
    int receive_timeout_ms = 0;
  };

  // Errors: kInternal with the system's message.
  [[nodiscard]] static leaf::result<UdpSocket> Open(const Options& options);

  [[nodiscard]] int fd() const noexcept { return fd_.get(); }
  [[nodiscard]] sa_family_t family() const noexcept { return family_; }
  // The bound endpoint, with the actual port if port 0 was requested.
  [[nodiscard]] Endpoint local() const noexcept;

  // Sends without blocking; false if the datagram was not sent.
  bool SendTo(const Endpoint& to,
              std::span<const std::byte> datagram) const noexcept;
  // Receives without blocking. Returns the size, or -1 if no datagram is
  // available. A datagram larger than `buffer` is truncated to its size.
  [[nodiscard]] std::ptrdiff_t ReceiveFrom(std::span<std::byte> buffer,
                                           Endpoint& from) const noexcept;

 private:
  UdpSocket(FileDescriptor fd, sa_family_t family)
      : fd_(std::move(fd)), family_(family) {}

  FileDescriptor fd_;
  sa_family_t family_ = AF_INET;
};

}  // namespace sapphirestream

#endif  // SAPPHIRESTREAM_INSTANCE_UDP_SOCKET_H_
