// What peers report of one target: their requests in progress, and how much of
// the evidence comes from each of them.
#ifndef SAPPHIRESTREAM_EDGE_PEER_REPORTS_H_
#define SAPPHIRESTREAM_EDGE_PEER_REPORTS_H_

#include <boost/container/flat_map.hpp>
#include <cstddef>
#include <cstdint>

#include "sapphirestream/base/clock.h"
#include "sapphirestream/edge/fwd.h"
#include "sapphirestream/edge/target_performance.h"
#include "sapphirestream/edge/target_samples.h"

namespace sapphirestream {

class PeerReports {
 public:
  // A count of outstanding requests is dropped if it is not repeated in time:
  // the peer is gone, or the message with the next count was lost.
  static constexpr Duration kOutstandingExpiry = kSamplesTimeout;
  // The parts of the peers are compared with the evidence of all instances, so
  // they have to decay alike.
  static constexpr Duration kMemory = TargetPerformance::kMemory;
  // After this time, less than 3% of a peer's evidence remains.
  static constexpr Duration kIdleRetention = std::chrono::seconds(30);
  // Time between two searches for idle peers.
  static constexpr Duration kIdleCheckInterval = std::chrono::seconds(5);
  // Peers that are tracked for a target; reports of others are ignored. Four
  // times PeerDirectory::kMaxPeers, since those that lose their place in the
  // directory are tracked until they are idle.
  static constexpr std::size_t kMaxPeers = 512;
  // Requests that each peer may report within kMemory in any case.
  static constexpr double kMinEvidence = 4;
  // Multiple of the average evidence of others that a peer may report. The
  // number of requests of instances differs by less.
  static constexpr double kMaxShareOfAverage = 2;

  // Sets a peer's count, and returns how many of `requests` count as evidence.
  // `evidence` is that of all instances for this target.
  std::uint32_t Add(PeerId peer, std::uint32_t outstanding,
                    std::uint32_t requests, double evidence, TimePoint now);
  void Erase(PeerId peer);
  // Drops outdated counts and idle peers.
  void Expire(TimePoint now);

  // Sum of the peers' counts.
  [[nodiscard]] std::uint32_t outstanding() const noexcept {
    return outstanding_;
  }
  [[nodiscard]] std::size_t size() const noexcept { return peers_.size(); }

 private:
  void ExpireCounts(TimePoint now);

  struct Report {
    std::uint32_t outstanding = 0;
    // As of `updated`.
    double evidence = 0;
    TimePoint updated{};
  };

  boost::container::flat_map<PeerId, Report> peers_;
  // Equals the sum over `peers_`.
  std::uint32_t outstanding_ = 0;
  TimePoint idle_checked_{};
};

}  // namespace sapphirestream

#endif  // SAPPHIRESTREAM_EDGE_PEER_REPORTS_H_
