// The authenticated datagram between instances.
#include "sapphirestream/link/peer_datagram.h"

#include <sodium.h>

#include <algorithm>

#include "sapphirestream/link/byte_order.h"

namespace sapphirestream {
namespace {

constexpr std::uint32_t kMagic = 0x73617070;
constexpr std::byte kFormatVersion{1};
constexpr std::size_t kTagOffset = kPeerHeaderSize - kPeerTagSize;

using Tag = std::array<unsigned char, kPeerTagSize>;

const unsigned char* AsChars(const std::byte* bytes) noexcept {
  return reinterpret_cast<const unsigned char*>(bytes);
}

// The tag covers the receiver's id, so that a datagram cannot be replayed to
// another instance, whose replay window has not recorded it.
Tag ComputeTag(const PeerKey& key, InstanceId receiver,
               std::span<const std::byte> datagram) noexcept {
  crypto_generichash_state state;
  crypto_generichash_init(&state, key.data(), key.size(), kPeerTagSize);
  std::array<std::byte, sizeof(std::uint32_t)> id{};
  StoreBigEndian(id.data(), Value(receiver));
  crypto_generichash_update(&state, AsChars(id.data()), id.size());
  crypto_generichash_update(&state, AsChars(datagram.data()), kTagOffset);
  const auto body = datagram.subspan(kPeerHeaderSize);
  crypto_generichash_update(&state, AsChars(body.data()), body.size());
  Tag tag{};
  crypto_generichash_final(&state, tag.data(), tag.size());
  return tag;
}

}  // namespace

PeerSealer::PeerSealer(const PeerKey& key, InstanceId self,
                       Incarnation incarnation, std::uint16_t channel)
    : key_(key), self_(self), incarnation_(incarnation), channel_(channel) {}

void PeerSealer::Seal(InstanceId receiver,
                      std::span<std::byte> datagram) noexcept {
  StoreBigEndian(&datagram[0], kMagic);
  datagram[4] = kFormatVersion;
  datagram[5] = std::byte{0};
  StoreBigEndian(&datagram[6], channel_);
  StoreBigEndian(&datagram[8], Value(self_));
  StoreBigEndian(&datagram[12], Value(incarnation_));
  StoreBigEndian(&datagram[20], ++sequence_);
  const Tag tag = ComputeTag(key_, receiver, datagram);
  std::transform(tag.begin(), tag.end(),
                 datagram.begin() + std::ptrdiff_t{kTagOffset},
                 [](unsigned char c) { return std::byte{c}; });
}

PeerOpener::PeerOpener(const PeerKey& key, InstanceId self)
    : key_(key), self_(self) {}

void PeerOpener::SetSenders(std::span<const InstanceId> senders) {
  std::erase_if(senders_, [&](const auto& entry) {
    return !std::binary_search(senders.begin(), senders.end(), entry.first);
  });
  for (const InstanceId id : senders) senders_.try_emplace(id);
}

ErrorKind PeerOpener::Open(std::span<const std::byte> datagram,
                           OpenedDatagram& out) {
  if (datagram.size() < kPeerHeaderSize) return ErrorKind::kTruncated;
  const auto channel = LoadBigEndian<std::uint16_t>(&datagram[6]);
  if (LoadBigEndian<std::uint32_t>(datagram.data()) != kMagic ||
      datagram[4] != kFormatVersion || datagram[5] != std::byte{0} ||
      channel >= kMaxPeerChannels) {
    return ErrorKind::kMalformedMessage;
  }
  const InstanceId sender{LoadBigEndian<std::uint32_t>(&datagram[8])};
  const auto it = senders_.find(sender);
  if (it == senders_.end()) return ErrorKind::kUnknownPeer;
  const Tag tag = ComputeTag(key_, self_, datagram);
  if (sodium_memcmp(tag.data(), &datagram[kTagOffset], tag.size()) != 0) {
    return ErrorKind::kBadTag;
  }
  const Incarnation incarnation{LoadBigEndian<std::uint64_t>(&datagram[12])};
  Sender& known = it->second;
  if (incarnation < known.incarnation) return ErrorKind::kReplayed;
  if (incarnation > known.incarnation) {
    known = Sender{incarnation, {}};
  }
  if (known.windows.size() <= channel) known.windows.resize(channel + 1U);
  if (!known.windows[channel].Accept(
          LoadBigEndian<std::uint64_t>(&datagram[20]))) {
    return ErrorKind::kReplayed;
  }
  out = {sender, incarnation, channel, datagram.subspan(kPeerHeaderSize)};
  return ErrorKind::kNone;
}

}  // namespace sapphirestream
