// The authenticated datagram between instances: a fixed header and a body.
//
//   offset size
//   0      4    magic "sapp"
//   4      1    format version
//   5      1    zero
//   6      2    channel: 0 for the control thread, 1 + n for traffic thread n
//   8      4    sender
//   12     8    incarnation of the sender
//   20     8    sequence, from 1 on per sender, incarnation and channel
//   28     16   tag: BLAKE2b keyed with the peer key, over the id of the
//               receiver, the header before the tag and the body
//   44          body
#ifndef SAPPHIRESTREAM_LINK_PEER_DATAGRAM_H_
#define SAPPHIRESTREAM_LINK_PEER_DATAGRAM_H_

#include <array>
#include <cstddef>
#include <cstdint>
#include <span>
#include <unordered_map>
#include <vector>

#include "sapphirestream/base/error.h"
#include "sapphirestream/base/id.h"
#include "sapphirestream/link/replay_window.h"

namespace sapphirestream {

using PeerKey = std::array<unsigned char, 32>;

inline constexpr std::size_t kPeerHeaderSize = 44;
inline constexpr std::size_t kPeerTagSize = 16;
// Size limit of every message except a redirect, which adds its overhead to the
// packet delivered by the fabric.
inline constexpr std::size_t kMaxPeerDatagramSize = 1'400;
// A receiver keeps one replay window per channel.
inline constexpr std::uint16_t kMaxPeerChannels = 65;

// Authenticates the datagrams that one thread sends.
class PeerSealer {
 public:
  // `channel` must be less than kMaxPeerChannels.
  PeerSealer(const PeerKey& key, InstanceId self, Incarnation incarnation,
             std::uint16_t channel);

  // Writes the header of a datagram in place. Its first kPeerHeaderSize bytes
  // are reserved for the header; the body follows.
  void Seal(InstanceId receiver, std::span<std::byte> datagram) noexcept;

 private:
  PeerKey key_;
  InstanceId self_;
  Incarnation incarnation_;
  std::uint16_t channel_;
  std::uint64_t sequence_ = 0;
};

struct OpenedDatagram {
  InstanceId sender = kNoInstance;
  Incarnation incarnation{};
  std::uint16_t channel = 0;
  // Points into the datagram.
  std::span<const std::byte> body;
};

// Authenticates received datagrams and rejects replays.
class PeerOpener {
 public:
  PeerOpener(const PeerKey& key, InstanceId self);

  // Sets the ids, sorted, from which datagrams are accepted. Senders that
  // remain keep their replay windows.
  void SetSenders(std::span<const InstanceId> senders);

  // Checks a datagram and returns kNone. A higher incarnation of a sender
  // resets its windows; a lower one is rejected as replayed. Errors:
  // kTruncated, kMalformedMessage (magic, version or channel), kUnknownPeer,
  // kBadTag, kReplayed.
  [[nodiscard]] ErrorKind Open(std::span<const std::byte> datagram,
                               OpenedDatagram& out);

 private:
  struct Sender {
    Incarnation incarnation{};
    // Indexed by channel; at most kMaxPeerChannels.
    std::vector<ReplayWindow> windows;
  };

  PeerKey key_;
  InstanceId self_;
  std::unordered_map<InstanceId, Sender> senders_;
};

}  // namespace sapphirestream

#endif  // SAPPHIRESTREAM_LINK_PEER_DATAGRAM_H_
