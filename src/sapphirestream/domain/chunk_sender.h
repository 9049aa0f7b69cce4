// Sends bodies longer than one datagram in chunks, limited to a byte rate.
#ifndef SAPPHIRESTREAM_DOMAIN_CHUNK_SENDER_H_
#define SAPPHIRESTREAM_DOMAIN_CHUNK_SENDER_H_

#include <cstdint>
#include <deque>
#include <memory>
#include <string>
#include <vector>

#include "sapphirestream/base/clock.h"
#include "sapphirestream/base/id.h"
#include "sapphirestream/domain/message_sink.h"

namespace sapphirestream {

// Largest part of a body in one message; fits a datagram of 1,400 bytes.
inline constexpr std::size_t kMaxChunkBytes = 1'200;

class ChunkSender {
 public:
  ChunkSender(std::uint32_t bytes_per_second, DomainSink& sink, TimePoint now)
      : bytes_per_second_(bytes_per_second), sink_(sink), last_refill_(now) {}

  // Starts the transfer of a body. Ignored if the same transfer is already in
  // progress or the limit of concurrent transfers is reached.
  void Start(InstanceId to, ConfigVersion base, ConfigVersion version,
             std::shared_ptr<const std::string> body, TimePoint now);
  // Queues one chunk of a transfer to be resent. Returns false if the transfer
  // has expired.
  bool Resend(InstanceId to, ConfigVersion version, std::uint32_t index,
              TimePoint now);
  // Sends as many chunks as the byte rate allows. The burst limit is 0.1 s of
  // the rate, so longer gaps between calls lower the throughput.
  void OnTimer(TimePoint now);

 private:
  struct Transfer {
    InstanceId to;
    ConfigVersion base;
    ConfigVersion version;
    // Shared so that chunks can be resent after the version is superseded.
    std::shared_ptr<const std::string> body;
    std::uint32_t count;
    std::deque<std::uint32_t> pending;
    TimePoint last_used;
  };

  void SendNext(Transfer& transfer);

  std::uint32_t bytes_per_second_;
  DomainSink& sink_;
  std::vector<Transfer> transfers_;
  std::size_t next_transfer_ = 0;
  double available_bytes_ = 0;
  TimePoint last_refill_;
};

}  // namespace sapphirestream

#endif  // SAPPHIRESTREAM_DOMAIN_CHUNK_SENDER_H_
