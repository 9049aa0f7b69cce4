#include "sapphirestream/target/peer_counts.h"

#include <algorithm>

namespace sapphirestream {
namespace {

using std::chrono::hours;
using std::chrono::seconds;

// A peer sends counts every 100 ms and is declared dead after 3 s of silence;
// its flows then belong to its successor, which counts them.
constexpr Duration kLifetime = seconds(3);
// Regions lose contact for an hour; a peer silent for longer is gone.
constexpr Duration kForgotten = hours(2);

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
  if (it->is_lost) --lost_;
  it->is_lost = false;
  it->heard = now;
  it->counts.assign(counts.begin(), counts.end());
}

bool PeerCounts::Expire(TimePoint now) {
  bool changed = false;
  bool has_forgotten = false;
  for (Peer& peer : peers_) {
    const Duration silence = now - peer.heard;
    if (silence < kLifetime) continue;
    has_forgotten |= silence >= kForgotten;
    if (peer.is_lost || peer.counts.empty()) continue;
    peer.is_lost = true;
    ++lost_;
    peer.counts.clear();
    changed = true;
  }
  if (has_forgotten) {
    std::erase_if(peers_, [this, now](const Peer& peer) {
      if (now - peer.heard < kForgotten) return false;
      if (peer.is_lost) --lost_;
      return true;
    });
  }
  return changed;
}

std::uint32_t PeerCounts::Of(TargetId target) const noexcept {
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
