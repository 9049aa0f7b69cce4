// Delayed acknowledgement of record batches.
#include "sapphirestream/flow/ack_collector.h"

#include "sapphirestream/flow/replicator.h"
#include "sapphirestream/flow/steering.h"

namespace sapphirestream {
namespace {

// Sequence numbers per acknowledgement; well below what fits one datagram.
constexpr std::size_t kMaxSequences = 100;

}  // namespace

void AckCollector::Add(InstanceId to, const RecordBatch& batch, bool accepted,
                       TimePoint now) {
  const auto [it, is_new] = pending_.try_emplace(to);
  Pending& pending = it->second;
  if (is_new) pending.due = now + kAckDelay;
  (accepted ? pending.ack.accepted : pending.ack.refused)
      .push_back(batch.sequence);
  const std::size_t count =
      pending.ack.accepted.size() + pending.ack.refused.size();
  if (!batch.urgent && count < kMaxSequences) return;
  sink_.Send(to, pending.ack);
  pending_.erase(it);
}

void AckCollector::OnTimer(TimePoint now) {
  std::erase_if(pending_, [&](const auto& entry) {
    if (now < entry.second.due) return false;
    sink_.Send(entry.first, entry.second.ack);
    return true;
  });
}

}  // namespace sapphirestream
