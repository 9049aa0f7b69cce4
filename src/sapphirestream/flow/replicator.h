// Sends record copies to replicas and new owners until they are acknowledged.
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

// How long a receiver collects acknowledgements that nobody waits for.
inline constexpr Duration kAckDelay = std::chrono::milliseconds(200);

// A batch whose fate is known.
struct DeliveredBatch {
  InstanceId to = kNoInstance;
  bool accepted = false;
  RecordBatch batch;
};

class Replicator {
 public:
  // Copies that fit one datagram of 1,400 bytes.
  static constexpr std::size_t kBatchRecords = 24;
  // Batches without an acknowledgement at most; more are sent only once, so
  // that an unreachable replica cannot make the memory grow. Copies sent by
  // SendNow are bounded by the packets held for them.
  static constexpr std::size_t kMaxUnacknowledged = 4'096;

  Replicator(Duration batch_interval, SteeringSink& sink);

  // Adds a copy to the next batch for `to`.
  void Add(InstanceId to, const RecordCopy& copy, bool handover, TimePoint now);
  // Sends a copy in a batch of its own at once and returns its sequence.
  std::uint64_t SendNow(InstanceId to, const RecordCopy& copy, TimePoint now);
  // Returns the batches that an acknowledgement settles.
  std::vector<DeliveredBatch> OnAck(InstanceId from, const RecordAck& ack);
  // Sends due batches, repeats unacknowledged ones and returns those given up.
  std::vector<DeliveredBatch> OnTimer(TimePoint now);
  // Gives up everything that is outstanding to an instance that is gone.
  std::vector<DeliveredBatch> Abandon(InstanceId to);

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
    TimePoint next_try;
    int tries = 1;
  };

  // Takes a flow out of a batch that was not sent yet; returns whether it was
  // there. A flow that ends so soon needs no copy at all.
  bool Cancel(const OpenKey& key, const FlowKey& flow);
  void Settle(InstanceId from, std::uint64_t sequence, bool accepted,
              std::vector<DeliveredBatch>& settled);
  std::uint64_t Transmit(InstanceId to, RecordBatch batch, bool is_bounded,
                         TimePoint now);

  Duration batch_interval_;
  SteeringSink& sink_;
  std::uint64_t next_sequence_ = 1;
  std::map<OpenKey, OpenBatch> open_;
  // By sequence, hence oldest first.
  std::map<std::uint64_t, Unacknowledged> unacknowledged_;
};

}  // namespace sapphirestream

#endif  // SAPPHIRESTREAM_FLOW_REPLICATOR_H_
