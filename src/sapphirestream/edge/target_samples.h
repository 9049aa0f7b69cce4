// Observations of one target over a short time, as exchanged between instances.
#ifndef SAPPHIRESTREAM_EDGE_TARGET_SAMPLES_H_
#define SAPPHIRESTREAM_EDGE_TARGET_SAMPLES_H_

#include <cstdint>
#include <vector>

#include "sapphirestream/base/clock.h"
#include "sapphirestream/base/id.h"
#include "sapphirestream/edge/fwd.h"

namespace sapphirestream {

// A peer from which no samples arrived for this time is lost, and its counts of
// outstanding requests no longer apply. Leaves time for three messages, two of
// which may be lost in the network.
inline constexpr Duration kSamplesTimeout = std::chrono::milliseconds(1500);

struct TargetSamples {
  TargetKey target{};
  Incarnation incarnation{};
  // Finished requests.
  std::uint32_t count = 0;
  // Of these, requests that failed or were rejected.
  std::uint32_t failures = 0;
  // Sum of the request times of all but the failed requests, each relative to
  // the expected time of its route, in thousandths.
  std::uint64_t relative_time_permille = 0;
  // Requests in progress at the sender.
  std::uint32_t outstanding = 0;

  bool operator==(const TargetSamples&) const = default;
};

// Source and destination of samples; implemented by the table of target
// performance and used by the exchange between instances.
class SampleStore {
 public:
  virtual ~SampleStore() = default;
  // Returns this instance's own samples since the last call, and targets whose
  // count of outstanding requests has changed. Samples of peers are not
  // included.
  [[nodiscard]] virtual std::vector<TargetSamples> TakeSamples(
      TimePoint now) = 0;
  // Applies the samples of a peer. The values may be false.
  virtual void OnPeerSamples(PeerId peer,
                             const std::vector<TargetSamples>& samples,
                             TimePoint now) = 0;
  // Drops a peer's counts of outstanding requests: it is gone or restarted.
  virtual void ErasePeer(PeerId peer) = 0;
};

}  // namespace sapphirestream

#endif  // SAPPHIRESTREAM_EDGE_TARGET_SAMPLES_H_
