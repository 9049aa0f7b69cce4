#include "sapphirestream/domain/chunk_sender.h"

#include <algorithm>
#include <utility>

namespace sapphirestream {
namespace {

constexpr std::size_t kMaxTransfers = 16;
// How long after its last use a transfer can still resend chunks.
constexpr Duration kTransferLifetime = std::chrono::seconds(10);
// Largest burst, in seconds at the configured rate.
constexpr double kBurstSeconds = 0.1;

}  // namespace

void ChunkSender::Start(InstanceId to, ConfigVersion base,
                        ConfigVersion version,
                        std::shared_ptr<const std::string> body,
                        TimePoint now) {
  const bool is_snapshot = base == ConfigVersion{};
  for (const Transfer& transfer : transfers_) {
    const bool is_same = transfer.to == to && transfer.base == base &&
                         transfer.version == version;
    if (is_same && !transfer.pending.empty()) return;
  }
  // A receiver that requests a snapshot has abandoned any earlier one.
  std::erase_if(transfers_, [&](const Transfer& transfer) {
    const bool is_same =
        transfer.base == base && (is_snapshot || transfer.version == version);
    return transfer.to == to && is_same;
  });
  if (transfers_.size() >= kMaxTransfers) {
    std::erase_if(transfers_, [](const Transfer& transfer) {
      return transfer.pending.empty();
    });
    if (transfers_.size() >= kMaxTransfers) return;
  }
  const std::size_t count = std::max<std::size_t>(
      1, (body->size() + kMaxChunkBytes - 1) / kMaxChunkBytes);
  Transfer transfer{
      to, base, version, std::move(body), static_cast<std::uint32_t>(count),
      {}, now};
  for (std::uint32_t i = 0; i < transfer.count; ++i) {
    transfer.pending.push_back(i);
  }
  transfers_.push_back(std::move(transfer));
}

bool ChunkSender::Resend(InstanceId to, ConfigVersion version,
                         std::uint32_t index, TimePoint now) {
  for (Transfer& transfer : transfers_) {
    if (transfer.to != to || transfer.version != version) continue;
    transfer.last_used = now;
    const bool is_pending =
        std::find(transfer.pending.begin(), transfer.pending.end(), index) !=
        transfer.pending.end();
    if (index < transfer.count && !is_pending) {
      transfer.pending.push_back(index);
    }
    return true;
  }
  return false;
}

void ChunkSender::OnTimer(TimePoint now) {
  const double rate = bytes_per_second_;
  const std::chrono::duration<double> elapsed = now - last_refill_;
  last_refill_ = now;
  available_bytes_ = std::min(
      available_bytes_ + elapsed.count() * rate,
      std::max(rate * kBurstSeconds, static_cast<double>(kMaxChunkBytes)));
  std::size_t idle = 0;
  while (available_bytes_ > 0 && idle < transfers_.size()) {
    Transfer& transfer = transfers_[next_transfer_++ % transfers_.size()];
    if (transfer.pending.empty()) {
      ++idle;
      continue;
    }
    idle = 0;
    transfer.last_used = now;
    SendNext(transfer);
  }
  std::erase_if(transfers_, [now](const Transfer& transfer) {
    return now - transfer.last_used > kTransferLifetime;
  });
}

void ChunkSender::SendNext(Transfer& transfer) {
  const std::uint32_t index = transfer.pending.front();
  transfer.pending.pop_front();
  ConfigChunk chunk{
      transfer.base, transfer.version, index, transfer.count,
      transfer.body->substr(index * kMaxChunkBytes, kMaxChunkBytes)};
  available_bytes_ -= static_cast<double>(chunk.body.size());
  sink_.Send(transfer.to, chunk);
}

}  // namespace sapphirestream
