// Sends copies of records to replicas and new owners until they are
// acknowledged.
#ifndef SAPPHIRESTREAM_FLOW_REPLICATOR_H_
#define SAPPHIRESTREAM_FLOW_REPLICATOR_H_

#include <cstddef>
#include <cstdint>
#include <map>
#include <tuple>
#include <vector>

#include "sapphirestream/base/clock.h"
#include "sapphirestream/base/id.h"
#include "sapphirestream/flow/message.h"

namespace sapphirestream {

class SteeringSink;

// Maximum delay of acknowledgements of batches that are not urgent.
inline constexpr Duration kAckDelay = std::chrono::milliseconds(200);

// A batch that was acknowledged or given up. `accepted` is false if it was
// refused or not acknowledged.
struct BatchResult {
  InstanceId to = kNoInstance;
  bool accepted = false;
  RecordBatch batch;
};

class Replicator {
 public:
  // Record copies that fit one datagram of 1,400 bytes.
  static constexpr std::size_t kBatchRecords = 24;
  // Maximum number of unacknowledged batches. Further batches are sent only
  // once, so that an unreachable replica does not exhaust memory. Copies sent
  // by SendUrgent are bounded by the number of held packets instead.
  static constexpr std::size_t kMaxUnacknowledged = 4'096;

  Replicator(Duration batch_interval, SteeringSink& sink);

  // Adds a copy to the next batch for `to`.
  void Add(InstanceId to, const RecordCopy& copy, bool handover, TimePoint now);
  // Sends a copy at once in a batch of its own. Returns the sequence number of
  // the batch.
  std::uint64_t SendUrgent(InstanceId to, const RecordCopy& copy,
                           TimePoint now);
  // Returns the batches that are settled by an acknowledgement.
  std::vector<BatchResult> OnAck(InstanceId from, const RecordAck& ack);
  // Sends due batches and retransmits unacknowledged ones. Returns the batches
  // that are given up.
  std::vector<BatchResult> OnTimer(TimePoint now);
  // Drops and returns all batches for an instance that is no longer a member.
  std::vector<BatchResult> Abandon(InstanceId to);

  [[nodiscard]] std::size_t outstanding() const noexcept {
    return unacknowledged_.size();
  }
  [[nodiscard]] bool idle() const noexcept {
    return unacknowledged_.empty() && open_.empty();
  }

 private:
  struct OpenKey {
    InstanceId to = kNoInstance;
    bool handover = false;
    bool operator<(const OpenKey& other) const noexcept {
      return std::tie(to, handover) < std::tie(other.to, other.handover);
    }
  };
  struct OpenBatch {
    TimePoint due;
    RecordBatch batch;
  };
  struct Unacknowledged {
    InstanceId to = kNoInstance;
    RecordBatch batch;
    TimePoint next_attempt;
    int attempts = 1;
  };

  // Removes a flow from a batch that has not been sent yet; returns whether it
  // was there. A flow that ends before its batch is sent needs no copy.
  bool Cancel(const OpenKey& key, const FlowKey& flow);
  void Settle(InstanceId from, std::uint64_t sequence, bool accepted,
              std::vector<BatchResult>& results);
  std::uint64_t Transmit(InstanceId to, RecordBatch batch, bool is_bounded,
                         TimePoint now);

  Duration batch_interval_;
  SteeringSink& sink_;
  std::uint64_t next_sequence_ = 1;
  std::map<OpenKey, OpenBatch> open_;
  // Keyed by sequence number, so the oldest batch comes first.
  std::map<std::uint64_t, Unacknowledged> unacknowledged_;
};

}  // namespace sapphirestream

#endif  // SAPPHIRESTREAM_FLOW_REPLICATOR_H_
