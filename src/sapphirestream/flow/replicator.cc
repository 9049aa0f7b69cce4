// Batching, repetition and acknowledgement of record copies.
#include "sapphirestream/flow/replicator.h"

#include <algorithm>
#include <utility>

#include "sapphirestream/flow/steering.h"

namespace sapphirestream {
namespace {

// First wait for an acknowledgement; doubles with each try. Twice the longest
// round trip between domains with jitter.
constexpr Duration kFirstRetry = std::chrono::milliseconds(50);
constexpr Duration kMaxRetry = std::chrono::milliseconds(800);
// Together about 5 s, after which membership declares the receiver dead anyway.
constexpr int kMaxTries = 10;

}  // namespace

Replicator::Replicator(Duration batch_interval, SteeringSink& sink)
    : batch_interval_(batch_interval), sink_(sink) {}

void Replicator::Add(InstanceId to, const RecordCopy& copy, bool handover,
                     TimePoint now) {
  const OpenKey key{to, handover};
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

std::uint64_t Replicator::SendNow(InstanceId to, const RecordCopy& copy,
                                  TimePoint now) {
  RecordBatch batch;
  batch.records.push_back(copy);
  return Transmit(to, std::move(batch), false, now);
}

std::uint64_t Replicator::Transmit(InstanceId to, RecordBatch batch,
                                   bool is_bounded, TimePoint now) {
  batch.sequence = next_sequence_++;
  sink_.Send(to, batch);
  const std::uint64_t sequence = batch.sequence;
  if (!is_bounded || unacknowledged_.size() < kMaxUnacknowledged) {
    unacknowledged_.emplace(
        sequence, Unacknowledged{to, std::move(batch), now + kFirstRetry});
  }
  return sequence;
}

std::optional<DeliveredBatch> Replicator::OnAck(InstanceId from,
                                                const RecordAck& ack) {
  const auto it = unacknowledged_.find(ack.sequence);
  if (it == unacknowledged_.end() || it->second.to != from) return {};
  DeliveredBatch delivered{from, ack.accepted, std::move(it->second.batch)};
  unacknowledged_.erase(it);
  return delivered;
}

std::vector<DeliveredBatch> Replicator::OnTimer(TimePoint now) {
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
  std::vector<DeliveredBatch> given_up;
  for (auto it = unacknowledged_.begin(); it != unacknowledged_.end();) {
    Unacknowledged& entry = it->second;
    if (now < entry.next_try) {
      ++it;
      continue;
    }
    if (entry.tries == kMaxTries) {
      given_up.push_back({entry.to, false, std::move(entry.batch)});
      it = unacknowledged_.erase(it);
      continue;
    }
    entry.next_try =
        now + std::min(kMaxRetry, kFirstRetry * (1 << entry.tries));
    ++entry.tries;
    sink_.Send(entry.to, entry.batch);
    ++it;
  }
  return given_up;
}

std::vector<DeliveredBatch> Replicator::Abandon(InstanceId to) {
  std::vector<DeliveredBatch> given_up;
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
