// Sends long bodies in chunks within a byte budget.
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

// Longest part of a body in one message; fits a datagram of 1,400 bytes.
inline constexpr std::size_t kMaxChunkBytes = 1'200;

class ChunkSender {
 public:
  ChunkSender(std::uint32_t bytes_per_second, DomainSink& sink, TimePoint now)
      : bytes_per_second_(bytes_per_second), sink_(sink), last_refill_(now) {}

  // Starts to send a body; ignored if the same one is on its way already or
  // too many are.
  void Start(InstanceId to, ConfigVersion base, ConfigVersion version,
             std::shared_ptr<const std::string> body, TimePoint now);
  // Sends one chunk of a started transfer again. Returns false if the transfer
  // is not known any more.
  bool Repeat(InstanceId to, ConfigVersion version, std::uint32_t index,
              TimePoint now);
  // Sends what the budget allows; call often.
  void OnTimer(TimePoint now);

 private:
  struct Transfer {
    InstanceId to;
    ConfigVersion base;
    ConfigVersion version;
    // Keeps the body while chunks may be asked for again, even if the version
    // is superseded meanwhile.
    std::shared_ptr<const std::string> body;
    std::uint32_t count;
    std::deque<std::uint32_t> pending;
    TimePoint last_used;
  };

  void SendNext(Transfer& transfer);

  std::uint32_t bytes_per_second_;
  DomainSink& sink_;
  std::vector<Transfer> transfers_;
  std::size_t cursor_ = 0;
  double allowance_ = 0;
  TimePoint last_refill_;
};

}  // namespace sapphirestream

#endif  // SAPPHIRESTREAM_DOMAIN_CHUNK_SENDER_H_
