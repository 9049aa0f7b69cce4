// Batched datagram I/O with recvmmsg and sendmmsg.
#include "sapphirestream/instance/datagram_batch.h"

namespace sapphirestream {

ReceiveBatch::ReceiveBatch() : buffers_(std::make_unique<Buffers>()) {
  for (std::size_t i = 0; i < kBatchSize; ++i) {
    parts_[i] = {(*buffers_)[i].data(), (*buffers_)[i].size()};
    headers_[i].msg_hdr.msg_iov = &parts_[i];
    headers_[i].msg_hdr.msg_iovlen = 1;
  }
}

std::size_t ReceiveBatch::Receive(int fd) noexcept {
  const int received =
      ::recvmmsg(fd, headers_.data(), kBatchSize, MSG_WAITFORONE, nullptr);
  return received > 0 ? static_cast<std::size_t>(received) : 0;
}

SendBatch::SendBatch() {
  for (std::size_t i = 0; i < kBatchSize; ++i) {
    headers_[i].msg_hdr.msg_iov = &parts_[i];
    headers_[i].msg_hdr.msg_iovlen = 1;
    headers_[i].msg_hdr.msg_name = &addresses_[i];
  }
}

bool SendBatch::Add(const Endpoint& to, sa_family_t family,
                    std::span<std::byte> datagram) noexcept {
  const socklen_t length = ToSocketAddress(to, family, addresses_[size_]);
  if (length == 0) return false;
  parts_[size_] = {datagram.data(), datagram.size()};
  headers_[size_].msg_hdr.msg_namelen = length;
  ++size_;
  return true;
}

std::size_t SendBatch::Flush(int fd) noexcept {
  std::size_t done = 0;
  std::size_t lost = 0;
  while (done < size_) {
    const int sent = ::sendmmsg(
        fd, &headers_[done], static_cast<unsigned>(size_ - done), MSG_DONTWAIT);
    if (sent > 0) {
      done += static_cast<std::size_t>(sent);
    } else {
      // The kernel rejected the first remaining datagram. Skip it, since the
      // next one may have another destination.
      ++done;
      ++lost;
    }
  }
  size_ = 0;
  return lost;
}

}  // namespace sapphirestream
