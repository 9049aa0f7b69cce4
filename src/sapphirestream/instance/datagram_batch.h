// Batched datagram I/O with recvmmsg and sendmmsg. Does not allocate after
// construction.
#ifndef SAPPHIRESTREAM_INSTANCE_DATAGRAM_BATCH_H_
#define SAPPHIRESTREAM_INSTANCE_DATAGRAM_BATCH_H_

#include <sys/socket.h>

#include <array>
#include <cstddef>
#include <memory>
#include <span>

#include "sapphirestream/base/endpoint.h"
#include "sapphirestream/instance/socket_address.h"
#include "sapphirestream/instance/traffic_queues.h"

namespace sapphirestream {

// Datagrams per system call.
inline constexpr std::size_t kBatchSize = 64;

class ReceiveBatch {
 public:
  ReceiveBatch();

  // Blocks until at least one datagram arrives and receives all that are
  // available. Returns their number, or zero after the socket's receive
  // timeout.
  [[nodiscard]] std::size_t Receive(int fd) noexcept;
  // Returns a received datagram, which may be modified in place. `i` must be
  // less than the result of the last Receive.
  [[nodiscard]] std::span<std::byte> At(std::size_t i) noexcept {
    return std::span((*buffers_)[i]).first(headers_[i].msg_len);
  }
  // Whether the datagram was longer than kMaxDatagramSize.
  [[nodiscard]] bool IsTruncated(std::size_t i) const noexcept {
    return (headers_[i].msg_hdr.msg_flags & MSG_TRUNC) != 0;
  }

 private:
  using Buffers =
      std::array<std::array<std::byte, kMaxDatagramSize>, kBatchSize>;

  std::unique_ptr<Buffers> buffers_;
  std::array<iovec, kBatchSize> parts_{};
  std::array<mmsghdr, kBatchSize> headers_{};
};

class SendBatch {
 public:
  SendBatch();

  // Adds a datagram, whose bytes must stay valid until Flush. Returns false if
  // a socket of `family` cannot reach the endpoint. The batch must not be full.
  [[nodiscard]] bool Add(const Endpoint& to, sa_family_t family,
                         std::span<std::byte> datagram) noexcept;
  // Sends without blocking, clears the batch and returns the number of
  // datagrams that the kernel did not accept.
  [[nodiscard]] std::size_t Flush(int fd) noexcept;

  [[nodiscard]] std::size_t size() const noexcept { return size_; }

 private:
  std::size_t size_ = 0;
  std::array<SocketAddress, kBatchSize> addresses_{};
  std::array<iovec, kBatchSize> parts_{};
  std::array<mmsghdr, kBatchSize> headers_{};
};

}  // namespace sapphirestream

#endif  // SAPPHIRESTREAM_INSTANCE_DATAGRAM_BATCH_H_
