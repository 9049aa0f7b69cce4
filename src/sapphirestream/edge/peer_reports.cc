#include "sapphirestream/edge/peer_reports.h"

#include <algorithm>
#include <cmath>
#include <iterator>

#include "sapphirestream/base/duration.h"

namespace sapphirestream {

std::uint32_t PeerReports::Add(PeerId peer, std::uint32_t outstanding,
                               std::uint32_t requests, double evidence,
                               TimePoint now) {
  auto it = peers_.find(peer);
  if (it == peers_.end()) {
    if (peers_.size() >= kMaxPeers) return 0;
    it = peers_.emplace(peer, Report{.updated = now}).first;
  }
  Report& report = it->second;
  outstanding_ += outstanding - report.outstanding;
  report.outstanding = outstanding;
  if (now > report.updated) {
    report.evidence *=
        std::exp(-Seconds(now - report.updated) / Seconds(kMemory));
    report.updated = now;
  }
  const double others = std::max(0.0, evidence - report.evidence);
  const double limit = kMinEvidence + kMaxShareOfAverage * others /
                                          static_cast<double>(peers_.size());
  const double room = std::max(0.0, limit - report.evidence);
  const std::uint32_t accepted =
      std::min(requests, static_cast<std::uint32_t>(room));
  report.evidence += accepted;
  return accepted;
}

void PeerReports::Erase(PeerId peer) {
  const auto it = peers_.find(peer);
  if (it == peers_.end()) return;
  outstanding_ -= it->second.outstanding;
  peers_.erase(it);
}

void PeerReports::Expire(TimePoint now) {
  if (outstanding_ > 0) ExpireCounts(now);
  if (now - idle_checked_ < kIdleCheckInterval) return;
  idle_checked_ = now;
  for (auto it = peers_.begin(); it != peers_.end();) {
    const bool is_idle = now - it->second.updated >= kIdleRetention;
    it = is_idle ? peers_.erase(it) : std::next(it);
  }
}

void PeerReports::ExpireCounts(TimePoint now) {
  for (auto& [peer, report] : peers_) {
    if (now - report.updated < kOutstandingExpiry) continue;
    outstanding_ -= report.outstanding;
    report.outstanding = 0;
  }
}

}  // namespace sapphirestream
