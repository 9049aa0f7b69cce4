#include "sapphirestream/edge/peer_directory.h"

#include <algorithm>
#include <utility>

#include "sapphirestream/base/hash.h"
#include "sapphirestream/edge/contact_delay.h"
#include "sapphirestream/edge/peer_ring.h"

namespace sapphirestream {

std::variant<PeerDirectory::HeardPeer, PeerRejection> PeerDirectory::OnHeard(
    V4Endpoint from, PeerId id, std::uint32_t sequence, TimePoint arrived) {
  if (from == own_) return PeerRejection::kFormerProcess;
  const bool is_taken =
      std::any_of(peers_.begin(), peers_.end(), [&](const PeerEntry& other) {
        return other.id == id && other.address != from &&
               IsLive(other, arrived);
      });
  if (is_taken) return PeerRejection::kForeignId;
  PeerEntry* const known = Find(from);
  PeerEntry* const peer =
      known != nullptr ? known : Emplace(from, /*is_live=*/true, arrived);
  if (peer == nullptr) return PeerRejection::kTooFar;
  if (id == peer->former_id) return PeerRejection::kFormerProcess;
  if (id == peer->id && sequence != 0 && sequence <= peer->last_sequence) {
    return PeerRejection::kReordered;
  }
  HeardPeer result{peer, std::nullopt};
  if (peer->id != id) {
    if (peer->id != PeerId{}) result.replaced = peer->id;
    peer->former_id = std::exchange(peer->id, id);
    peer->last_sequence = 0;
    peer->samples_heard.reset();
    peer->clock.reset();
  }
  if (sequence != 0) peer->last_sequence = sequence;
  peer->heard = std::max(arrived, peer->heard.value_or(arrived));
  peer->mentioned = std::max(arrived, peer->mentioned);
  peer->contact_delay = kFirstContactDelay;
  return result;
}

void PeerDirectory::OnMentioned(V4Endpoint address, TimePoint now) {
  if (address == own_ || address == V4Endpoint{}) return;
  if (PeerEntry* const peer = Find(address)) {
    peer->mentioned = now;
  } else {
    Emplace(address, /*is_live=*/false, now);
  }
}

std::vector<PeerDirectory::LostPeer> PeerDirectory::Expire(TimePoint now) {
  std::vector<LostPeer> lost;
  for (PeerEntry& peer : peers_) {
    if (!peer.samples_heard) continue;
    const Duration silent = now - *peer.samples_heard;
    if (silent < kSilenceTimeout) continue;
    lost.push_back({peer.address, peer.id, silent, peer.is_neighbor});
    peer.samples_heard.reset();
  }
  std::erase_if(peers_, [now](const PeerEntry& peer) {
    return now - peer.mentioned >= kForgetAfter;
  });
  return lost;
}

template <typename Predicate>
std::vector<bool> PeerDirectory::MarkNearest(Predicate counts) const {
  std::vector<bool> nearest(peers_.size(), false);
  std::size_t nearer = 0;
  for (std::size_t i = 0; i < peers_.size() && nearer < kNeighborsPerSide;
       ++i) {
    nearest[i] = true;
    nearer += counts(peers_[i]) ? 1 : 0;
  }
  nearer = 0;
  for (std::size_t i = peers_.size(); i-- > 0 && nearer < kNeighborsPerSide;) {
    nearest[i] = true;
    nearer += counts(peers_[i]) ? 1 : 0;
  }
  return nearest;
}

void PeerDirectory::UpdateNeighbors(TimePoint now) {
  const std::vector<bool> nearest =
      MarkNearest([now](const PeerEntry& peer) { return IsLive(peer, now); });
  for (std::size_t i = 0; i < peers_.size(); ++i) {
    peers_[i].is_neighbor = nearest[i] && IsLive(peers_[i], now);
  }
}

std::vector<V4Endpoint> PeerDirectory::Neighbors() const {
  std::vector<V4Endpoint> out;
  for (const PeerEntry& peer : peers_) {
    if (peer.is_neighbor) out.push_back(peer.address);
  }
  return out;
}

std::vector<V4Endpoint> PeerDirectory::TakeContacts(std::size_t limit,
                                                    TimePoint now) {
  // An address is expected to answer until it was contacted twice in vain.
  const std::vector<bool> nearest = MarkNearest([now](const PeerEntry& peer) {
    return IsLive(peer, now) || peer.contact_delay <= 2 * kFirstContactDelay;
  });
  std::vector<V4Endpoint> out;
  for (std::size_t i = 0; i < peers_.size() && out.size() < limit; ++i) {
    PeerEntry& peer = peers_[i];
    if (!nearest[i] || IsLive(peer, now) || now < peer.next_contact) continue;
    out.push_back(peer.address);
    peer.next_contact = now + ContactDelay(peer.contact_delay, random_);
    peer.contact_delay = std::min(kMaxContactDelay, peer.contact_delay * 2);
  }
  return out;
}

std::vector<V4Endpoint> PeerDirectory::LivePeers(TimePoint now) const {
  std::vector<V4Endpoint> out;
  for (const PeerEntry& peer : peers_) {
    if (IsLive(peer, now)) out.push_back(peer.address);
  }
  return out;
}

bool PeerDirectory::IsRepresentative() const {
  const auto rank = [](V4Endpoint address) {
    constexpr std::uint64_t seed = 0x72616e6b;
    return HashPair(seed, Value(address));
  };
  const std::uint64_t own_rank = rank(own_);
  return std::none_of(peers_.begin(), peers_.end(), [&](const PeerEntry& p) {
    return p.is_neighbor && rank(p.address) < own_rank;
  });
}

PeerDirectory::Peers::const_iterator PeerDirectory::Locate(
    V4Endpoint address) const {
  const auto it = std::lower_bound(
      peers_.begin(), peers_.end(), RingDistance(own_, address),
      [](const PeerEntry& peer, std::uint64_t distance) {
        return peer.distance < distance;
      });
  return it != peers_.end() && it->address == address ? it : peers_.end();
}

const PeerEntry* PeerDirectory::Find(V4Endpoint address) const {
  const auto it = Locate(address);
  return it != peers_.end() ? &*it : nullptr;
}

PeerEntry* PeerDirectory::Find(V4Endpoint address) {
  const auto it = Locate(address);
  if (it == peers_.end()) return nullptr;
  return &peers_[static_cast<std::size_t>(it - peers_.begin())];
}

PeerEntry* PeerDirectory::Emplace(V4Endpoint address, bool is_live,
                                  TimePoint now) {
  if (peers_.size() >= kMaxPeers) {
    const auto nearness = [](const PeerEntry& peer) {
      return std::min(peer.distance, 0 - peer.distance);
    };
    const auto farthest =
        std::max_element(peers_.begin(), peers_.end(),
                         [&](const PeerEntry& a, const PeerEntry& b) {
                           const bool a_is_live = IsLive(a, now);
                           const bool b_is_live = IsLive(b, now);
                           if (a_is_live != b_is_live) return a_is_live;
                           return nearness(a) < nearness(b);
                         });
    const std::uint64_t distance = RingDistance(own_, address);
    const bool is_nearer =
        std::min(distance, 0 - distance) < nearness(*farthest);
    const bool farthest_is_live = IsLive(*farthest, now);
    if (farthest_is_live && !is_live) return nullptr;
    if (farthest_is_live == is_live && !is_nearer) return nullptr;
    peers_.erase(farthest);
  }
  PeerEntry peer;
  peer.address = address;
  peer.distance = RingDistance(own_, address);
  peer.next_contact = now;
  peer.contact_delay = kFirstContactDelay;
  peer.mentioned = now;
  const auto at = std::upper_bound(
      peers_.begin(), peers_.end(), peer.distance,
      [](std::uint64_t d, const PeerEntry& p) { return d < p.distance; });
  return &*peers_.insert(at, peer);
}

}  // namespace sapphirestream
