// Decides when this instance introduces itself to which seed.
#ifndef SAPPHIRESTREAM_EDGE_PEER_SEEDS_H_
#define SAPPHIRESTREAM_EDGE_PEER_SEEDS_H_

#include <algorithm>
#include <cstddef>
#include <optional>
#include <utility>
#include <vector>

#include "sapphirestream/base/clock.h"
#include "sapphirestream/base/random.h"
#include "sapphirestream/edge/contact_delay.h"
#include "sapphirestream/edge/v4_endpoint.h"

namespace sapphirestream {

// Contacts one seed at a time, in turn, with exponential backoff and jitter.
class PeerSeeds {
 public:
  static constexpr Duration kMinDelay = std::chrono::milliseconds(100);
  // An instance that has a peer learns of others from that one.
  static constexpr Duration kMinDelayWithPeers = std::chrono::seconds(1);
  // With 18,000 instances and three seeds, 250 introductions per second reach a
  // seed in the worst case that no instance knows any other: 11 KB/s.
  static constexpr Duration kMaxDelay = std::chrono::seconds(32);

  // `random` must outlive this object.
  PeerSeeds(std::vector<V4Endpoint> seeds, Random& random)
      : seeds_(std::move(seeds)), random_(&random) {
    if (!seeds_.empty()) next_ = random_->Below(seeds_.size());
  }

  // Returns the seed to contact now, if any. `is_needed`: fewer peers are known
  // than needed, or this instance represents its neighbors. `is_alone`: there
  // is no live peer.
  [[nodiscard]] std::optional<V4Endpoint> Take(bool is_needed, bool is_alone,
                                               TimePoint now) {
    if (!is_alone && delay_ < kMinDelayWithPeers) {
      delay_ = kMinDelayWithPeers;
      contact_at_ = now + ContactDelay(delay_, *random_);
    }
    if (!is_needed || seeds_.empty() || now < contact_at_) return std::nullopt;
    contact_at_ = now + ContactDelay(delay_, *random_);
    delay_ = std::min(kMaxDelay, delay_ * 2);
    next_ = (next_ + 1) % seeds_.size();
    return seeds_[next_];
  }
  // Ends the backoff: all peers were lost.
  void Reset() noexcept {
    delay_ = kMinDelay;
    contact_at_ = {};
  }

 private:
  std::vector<V4Endpoint> seeds_;
  Random* random_;
  std::size_t next_ = 0;
  TimePoint contact_at_{};
  Duration delay_ = kMinDelay;
};

}  // namespace sapphirestream

#endif  // SAPPHIRESTREAM_EDGE_PEER_SEEDS_H_
