// Tells whether another failure domain is cut off from this instance. Addresses
// a partition: finding each target of the domain unreachable by itself takes
// longer than clients wait.
#ifndef SAPPHIRESTREAM_EDGE_DOMAIN_REACHABILITY_H_
#define SAPPHIRESTREAM_EDGE_DOMAIN_REACHABILITY_H_

#include <cstddef>
#include <map>
#include <string>

#include "sapphirestream/base/clock.h"
#include "sapphirestream/edge/fwd.h"

namespace sapphirestream {

class DomainReachability {
 public:
  // Unreachable targets of a domain that show a partition if no target of the
  // domain has accepted a connection since; fewer may have failed by
  // themselves. Targets that crash together look the same.
  static constexpr std::size_t kMinUnreachableTargets = 3;
  // A failed probe counts for this time. Unreachable targets are probed again
  // earlier, so that a partition stays known while it lasts.
  static constexpr Duration kMaxEvidenceAge = std::chrono::seconds(1);

  // A probe of the target that began at `begun` was not answered or was
  // refused: a partition may reset connections instead of dropping their
  // packets.
  void OnUnreachable(const std::string& domain, TargetKey target,
                     TimePoint begun);
  // A target of the domain answered a packet or accepted a connection.
  void OnAnswer(const std::string& domain, TimePoint now);

  [[nodiscard]] bool IsCutOff(const std::string& domain, TimePoint now) const;

 private:
  struct Domain {
    TimePoint last_answer{};
    // Start of the last failed probe of each target. Bounded by the number of
    // targets that are probed, and cleared by each answer.
    std::map<TargetKey, TimePoint> unreachable;
  };

  std::map<std::string, Domain, std::less<>> domains_;
};

}  // namespace sapphirestream

#endif  // SAPPHIRESTREAM_EDGE_DOMAIN_REACHABILITY_H_
