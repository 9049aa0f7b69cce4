// Controls which share of a service's new flows may go to other failure
// domains. Addresses demand that exceeds the capacity of the instance's own
// domain while other domains have spare capacity; see
// docs/design/placement-under-load.md.
#ifndef SAPPHIRESTREAM_EDGE_SPILL_CONTROL_H_
#define SAPPHIRESTREAM_EDGE_SPILL_CONTROL_H_

#include <cstdint>

#include "sapphirestream/base/clock.h"

namespace sapphirestream {

// Load of the eligible targets of one or more failure domains.
struct DomainLoad {
  // Time for which a new request waits for a slot, in units of the time of an
  // average request.
  double expected_wait = 0;
  // Requests of this instance that are in progress.
  double outstanding = 0;
  // Mean share of requests that fail.
  double failure_share = 0;
};

class SpillControl {
 public:
  // One-way time between failure domains, which an instance cannot observe.
  // That of domains in different towns is assumed, since traffic between
  // domains is expensive.
  static constexpr Duration kOneWayTime = std::chrono::milliseconds(5);
  // An opening packet, its answer, the request and its answer each cross once.
  static constexpr Duration kCrossingTime = 4 * kOneWayTime;
  // Assumed mean time of a request without load; converts the crossing into
  // relative times, the only ones that are known.
  static constexpr Duration kRequestTime = std::chrono::milliseconds(20);
  // A crossing in units of the time of an average request.
  static constexpr double kCrossingCost =
      std::chrono::duration<double>(kCrossingTime) / kRequestTime;

  // Time after which a change of the share shows in the counts of all
  // instances: two intervals of the exchange and a request.
  static constexpr Duration kEffectDelay = std::chrono::milliseconds(300);
  // Largest change of the share within kEffectDelay, so that an overshoot
  // remains small against the capacity of the other domains.
  static constexpr double kMaxStep = 0.15;

  // Limit of the share while it is not known whether requests are faster in
  // other domains. It is enough for 1.5 times the capacity of the domain.
  static constexpr double kUnprovenShare = 0.35;
  // Share that remains while requests are slower in other domains, so that
  // their recovery is seen.
  static constexpr double kProbeShare = 0.02;
  // Share at which the flows that stay suffice to see that the domain has
  // recovered.
  static constexpr double kMaxShare = 0.95;
  // Gain of a crossing, as a share of the local request time, from which on the
  // share is limited by kMaxShare alone.
  static constexpr double kFullGain = 0.3;
  // Requests in other domains that give half of the full confidence in the
  // gain.
  static constexpr double kNeutralRequests = 2;
  // Time constant of the averages from which the gain is derived. Covers a few
  // requests in other domains even if only kProbeShare of the flows cross.
  static constexpr Duration kMemory = std::chrono::seconds(5);

  // Adjusts the share to the current loads. The share changes gradually; a call
  // after a pause does not raise it by more than kMaxStep.
  void Update(const DomainLoad& local, const DomainLoad& remote,
              TimePoint now) noexcept;

  // Whether no flow may cross at this local load, whatever the remote one. The
  // remote load is then not needed for Update.
  [[nodiscard]] bool IsIdle(const DomainLoad& local) const noexcept {
    return share_ == 0 && local.expected_wait <= kCrossingCost;
  }

  // A flow was placed, in another domain if `crossed`.
  void OnPlaced(bool crossed) noexcept;

  // Whether a flow may go to another domain. The flows that may at a given
  // share are the same on all instances, and remain so when the share rises.
  [[nodiscard]] bool MayCross(std::uint64_t flow_hash) const noexcept;

  // 0 to kMaxShare.
  [[nodiscard]] double share() const noexcept { return share_; }

 private:
  // Decaying sums. Their ratio is the mean time of a request (Little's law).
  // Only times at which the local wait is long are included, since the gain at
  // other times does not matter.
  struct Traffic {
    double flows = 0;
    // Requests in progress times seconds.
    double outstanding = 0;
    double failure_share = 0;

    void Decay(double seconds) noexcept;
    void Add(const DomainLoad& load, double seconds) noexcept;
    [[nodiscard]] double RequestTime() const noexcept;
  };

  [[nodiscard]] double Limit() const noexcept;

  double share_ = 0;
  // Whether the local wait was longer than a crossing at the last update.
  bool saturated_ = false;
  TimePoint updated_{};
  Traffic local_;
  Traffic remote_;
};

}  // namespace sapphirestream

#endif  // SAPPHIRESTREAM_EDGE_SPILL_CONTROL_H_
