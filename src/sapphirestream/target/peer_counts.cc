#include "sapphirestream/target/peer_counts.h"

#include <algorithm>

namespace sapphirestream {
namespace {

// Peers send all their counts every 2 s; this tolerates three lost messages in
// a row.
constexpr Duration kLifetime = std::chrono::seconds(7);

}  // namespace

void PeerCounts::Set(InstanceId peer, std::span<const PlacementCount> counts,
                     TimePoint now) {
  auto it =
      std::lower_bound(peers_.begin(), peers_.end(), peer,
                       [](const Peer& p, InstanceId id) { return p.id < id; });
  if (it == peers_.end() || it->id != peer) {
    it = peers_.insert(it, Peer{});
    it->id = peer;
  }
  it->last_update = now;
  it->counts.assign(counts.begin(), counts.end());
}

bool PeerCounts::Expire(TimePoint now) {
  return std::erase_if(peers_, [now](const Peer& peer) {
           return now - peer.last_update >= kLifetime;
         }) > 0;
}

std::span<const PlacementCount> PeerCounts::CountsOf(
    InstanceId peer) const noexcept {
  const auto it =
      std::lower_bound(peers_.begin(), peers_.end(), peer,
                       [](const Peer& p, InstanceId id) { return p.id < id; });
  if (it == peers_.end() || it->id != peer) return {};
  return it->counts;
}

std::uint32_t PeerCounts::SumOf(TargetId target) const noexcept {
  std::uint32_t open = 0;
  for (const Peer& peer : peers_) {
    const auto it = std::lower_bound(
        peer.counts.begin(), peer.counts.end(), target,
        [](const PlacementCount& c, TargetId id) { return c.target < id; });
    if (it != peer.counts.end() && it->target == target) open += it->open;
  }
  return open;
}

}  // namespace sapphirestream
