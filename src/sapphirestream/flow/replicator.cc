// Batching, retransmission and acknowledgement of record copies.
#include "sapphirestream/flow/replicator.h"

#include <algorithm>
#include <utility>

#include "sapphirestream/flow/steering.h"

namespace sapphirestream {
namespace {

// Initial acknowledgement timeout of an urgent batch; doubles with each
// attempt. Twice the longest round-trip time between domains including jitter.
constexpr Duration kUrgentRetry = std::chrono::milliseconds(50);
// Acknowledgements of other batches are delayed by up to kAckDelay.
constexpr Duration kFirstRetry = 2 * kAckDelay;
constexpr Duration kMaxRetry = std::chrono::milliseconds(800);
// All attempts together take longer than the 3 s after which a silent receiver
// is considered dead.
constexpr int kMaxAttempts = 8;

Duration RetryAfter(const RecordBatch& batch, int attempts) {
  const Duration first = batch.urgent ? kUrgentRetry : kFirstRetry;
  return std::min(kMaxRetry, first * (1 << attempts));
}

}  // namespace

Replicator::Replicator(Duration batch_interval, SteeringSink& sink)
    : batch_interval_(batch_interval), sink_(sink) {}

void Replicator::Add(InstanceId to, const RecordCopy& copy, bool handover,
                     TimePoint now) {
  const OpenKey key{to, handover};
  if (copy.state == RecordState::kClosing && Cancel(key, copy.key)) return;
  auto [it, is_new] = open_.try_emplace(key);
  if (is_new) {
    it->second.due = now + batch_interval_;
    it->second.batch.handover = handover;
  }
  it->second.batch.records.push_back(copy);
  if (it->second.batch.records.size() < kBatchRecords) return;
  RecordBatch batch = std::move(it->second.batch);
  open_.erase(it);
  Transmit(to, std::move(batch), true, now);
}

bool Replicator::Cancel(const OpenKey& key, const FlowKey& flow) {
  const auto it = open_.find(key);
  if (it == open_.end()) return false;
  std::vector<RecordCopy>& records = it->second.batch.records;
  const auto removed = std::erase_if(
      records, [&](const RecordCopy& copy) { return copy.key == flow; });
  if (records.empty()) open_.erase(it);
  return removed > 0;
}

std::uint64_t Replicator::SendUrgent(InstanceId to, const RecordCopy& copy,
                                     TimePoint now) {
  RecordBatch batch;
  batch.urgent = true;
  batch.records.push_back(copy);
  return Transmit(to, std::move(batch), false, now);
}

std::uint64_t Replicator::Transmit(InstanceId to, RecordBatch batch,
                                   bool is_bounded, TimePoint now) {
  batch.sequence = next_sequence_++;
  sink_.Send(to, batch);
  const std::uint64_t sequence = batch.sequence;
  const TimePoint retry = now + RetryAfter(batch, 0);
  if (!is_bounded || unacknowledged_.size() < kMaxUnacknowledged) {
    unacknowledged_.emplace(sequence,
                            Unacknowledged{to, std::move(batch), retry});
  }
  return sequence;
}

std::vector<BatchResult> Replicator::OnAck(InstanceId from,
                                           const RecordAck& ack) {
  std::vector<BatchResult> results;
  for (const std::uint64_t sequence : ack.accepted) {
    Settle(from, sequence, true, results);
  }
  for (const std::uint64_t sequence : ack.refused) {
    Settle(from, sequence, false, results);
  }
  return results;
}

void Replicator::Settle(InstanceId from, std::uint64_t sequence, bool accepted,
                        std::vector<BatchResult>& results) {
  const auto it = unacknowledged_.find(sequence);
  if (it == unacknowledged_.end() || it->second.to != from) return;
  results.push_back({from, accepted, std::move(it->second.batch)});
  unacknowledged_.erase(it);
}

std::vector<BatchResult> Replicator::OnTimer(TimePoint now) {
  for (auto it = open_.begin(); it != open_.end();) {
    if (now < it->second.due) {
      ++it;
      continue;
    }
    const InstanceId to = it->first.to;
    RecordBatch batch = std::move(it->second.batch);
    it = open_.erase(it);
    Transmit(to, std::move(batch), true, now);
  }
  std::vector<BatchResult> given_up;
  for (auto it = unacknowledged_.begin(); it != unacknowledged_.end();) {
    Unacknowledged& entry = it->second;
    if (now < entry.next_attempt) {
      ++it;
      continue;
    }
    if (entry.attempts == kMaxAttempts) {
      given_up.push_back({entry.to, false, std::move(entry.batch)});
      it = unacknowledged_.erase(it);
      continue;
    }
    entry.next_attempt = now + RetryAfter(entry.batch, entry.attempts);
    ++entry.attempts;
    sink_.Send(entry.to, entry.batch);
    ++it;
  }
  return given_up;
}

std::vector<BatchResult> Replicator::Abandon(InstanceId to) {
  std::vector<BatchResult> given_up;
  for (auto it = open_.begin(); it != open_.end();) {
    if (it->first.to != to) {
      ++it;
      continue;
    }
    given_up.push_back({to, false, std::move(it->second.batch)});
    it = open_.erase(it);
  }
  for (auto it = unacknowledged_.begin(); it != unacknowledged_.end();) {
    if (it->second.to != to) {
      ++it;
      continue;
    }
    given_up.push_back({to, false, std::move(it->second.batch)});
    it = unacknowledged_.erase(it);
  }
  return given_up;
}

}  // namespace sapphirestream
