// Instances of the own failure domain that are known to this one.
#ifndef SAPPHIRESTREAM_EDGE_PEER_DIRECTORY_H_
#define SAPPHIRESTREAM_EDGE_PEER_DIRECTORY_H_

#include <cstddef>
#include <cstdint>
#include <optional>
#include <variant>
#include <vector>

#include "sapphirestream/base/clock.h"
#include "sapphirestream/base/random.h"
#include "sapphirestream/edge/fwd.h"
#include "sapphirestream/edge/peer_clock.h"
#include "sapphirestream/edge/peer_message.h"
#include "sapphirestream/edge/target_samples.h"
#include "sapphirestream/edge/v4_endpoint.h"

namespace sapphirestream {

// Counts messages per second.
class MessageRate {
 public:
  // Returns whether at most `limit` messages arrived in this second.
  [[nodiscard]] bool Accept(std::uint32_t limit, TimePoint now) noexcept {
    if (now - second_ >= std::chrono::seconds(1)) {
      second_ = now;
      count_ = 0;
    }
    return ++count_ <= limit;
  }

 private:
  TimePoint second_{};
  std::uint32_t count_ = 0;
};

struct PeerEntry {
  V4Endpoint address;
  // Distance on the ring from the own address.
  std::uint64_t distance = 0;
  // Zero if it has only been mentioned by others.
  PeerId id{};
  // Process at this address before the current one; zero if unknown.
  PeerId former_id{};
  // Arrival of its last message of any kind.
  std::optional<TimePoint> heard;
  // Arrival of its last samples; not set unless it sends samples now.
  std::optional<TimePoint> samples_heard;
  // Its clock, from its last samples; not set before the first ones.
  std::optional<PeerClockReading> clock;
  std::uint32_t last_sequence = 0;
  // Messages with samples.
  MessageRate rate;
  // Whether own samples are sent to it.
  bool is_neighbor = false;
  // Earliest time of the next message to it besides samples: an introduction
  // while it is not live, addresses if it sends samples but is no neighbor.
  TimePoint next_contact{};
  // Delay between the next two introductions.
  Duration contact_delay{};
  // Last time that it was heard or mentioned.
  TimePoint mentioned{};
};

// Keeps the instances that are nearest on the ring, in order of their distance.
// An address that another instance mentions is contacted, but not mentioned to
// others before it has answered: otherwise the addresses of dead instances
// would circulate forever.
class PeerDirectory {
 public:
  // Neighbors in each direction of the ring. Twice this number of recipients
  // share the bytes that an instance may send; with more of them, a message
  // would hold only a few samples.
  static constexpr std::size_t kNeighborsPerSide = 16;
  static constexpr std::size_t kMaxNeighbors = 2 * kNeighborsPerSide;
  // Four times the neighbors, so that others are known if many are lost at the
  // same time.
  static constexpr std::size_t kMaxPeers = 4 * kMaxNeighbors;
  static constexpr Duration kSilenceTimeout = kSamplesTimeout;
  // An address that is neither heard nor mentioned for this time is forgotten.
  // Until then it is contacted at growing intervals, so that both parts of a
  // partitioned domain find each other again.
  static constexpr Duration kForgetAfter = std::chrono::seconds(60);
  static constexpr Duration kFirstContactDelay = std::chrono::milliseconds(200);
  // At this delay, an address is contacted at least three times in
  // kForgetAfter.
  static constexpr Duration kMaxContactDelay = std::chrono::seconds(16);

  struct LostPeer {
    V4Endpoint address;
    PeerId id{};
    // Time since its last samples.
    Duration silent{};
    // Whether it was expected to send samples: otherwise nearer peers may have
    // taken its place.
    bool was_neighbor = false;
  };
  struct HeardPeer {
    // Valid until the next call that is not const.
    PeerEntry* peer = nullptr;
    // Former process at this address, if it has just been replaced.
    std::optional<PeerId> replaced;
  };

  // `own` is the address as seen by other instances. `random` must outlive the
  // directory.
  PeerDirectory(V4Endpoint own, Random& random) : own_(own), random_(random) {}

  // A message of an instance of this domain arrived. `sequence`: of samples;
  // zero for other messages.
  [[nodiscard]] std::variant<HeardPeer, PeerRejection> OnHeard(
      V4Endpoint from, PeerId id, std::uint32_t sequence, TimePoint arrived);
  // Another instance mentioned an address.
  void OnMentioned(V4Endpoint address, TimePoint now);
  // Ends the exchange with silent peers, and erases old addresses.
  [[nodiscard]] std::vector<LostPeer> Expire(TimePoint now);

  // Determines the neighbors: the nearest live peers in either direction.
  void UpdateNeighbors(TimePoint now);
  // Addresses of the neighbors at the last update.
  [[nodiscard]] std::vector<V4Endpoint> Neighbors() const;
  // Returns up to `limit` addresses that would be neighbors if they answered
  // and are due for an introduction; sets the time of the next one.
  [[nodiscard]] std::vector<V4Endpoint> TakeContacts(std::size_t limit,
                                                     TimePoint now);
  // Returns null if the address is not known.
  [[nodiscard]] const PeerEntry* Find(V4Endpoint address) const;
  // Addresses of all live peers.
  [[nodiscard]] std::vector<V4Endpoint> LivePeers(TimePoint now) const;

  // Whether this instance introduces itself to seeds on behalf of its
  // neighbors. In a large domain, about one in 33 instances does.
  [[nodiscard]] bool IsRepresentative() const;

  [[nodiscard]] V4Endpoint own() const noexcept { return own_; }
  [[nodiscard]] std::size_t size() const noexcept { return peers_.size(); }

 private:
  using Peers = std::vector<PeerEntry>;

  static bool IsLive(const PeerEntry& peer, TimePoint now) noexcept {
    return peer.heard && now - *peer.heard < kSilenceTimeout;
  }
  [[nodiscard]] Peers::const_iterator Locate(V4Endpoint address) const;
  [[nodiscard]] PeerEntry* Find(V4Endpoint address);
  // Returns null if the directory is full of nearer or live peers.
  PeerEntry* Emplace(V4Endpoint address, bool is_live, TimePoint now);
  // Returns for each peer whether fewer than kNeighborsPerSide of those that
  // satisfy `counts` are nearer in one of the directions.
  template <typename Predicate>
  [[nodiscard]] std::vector<bool> MarkNearest(Predicate counts) const;

  V4Endpoint own_;
  Random& random_;
  // Sorted by distance, which is unique.
  Peers peers_;
};

}  // namespace sapphirestream

#endif  // SAPPHIRESTREAM_EDGE_PEER_DIRECTORY_H_
