// Messages between instances and their encoding: big-endian integers of fixed
// size in the header, and integers of variable size in the samples, which make
// up most of the traffic.
#ifndef SAPPHIRESTREAM_EDGE_PEER_MESSAGE_H_
#define SAPPHIRESTREAM_EDGE_PEER_MESSAGE_H_

#include <cstddef>
#include <cstdint>
#include <optional>
#include <span>
#include <string_view>
#include <variant>
#include <vector>

#include "sapphirestream/base/store_revision.h"
#include "sapphirestream/edge/fwd.h"
#include "sapphirestream/edge/peer_clock.h"
#include "sapphirestream/edge/target_samples.h"
#include "sapphirestream/edge/v4_endpoint.h"

namespace sapphirestream {

// Hash of the name of a failure domain.
enum class DomainHash : std::uint32_t {};

[[nodiscard]] DomainHash HashOfDomain(std::string_view name) noexcept;

// Hash of the identity of a store: revisions of different stores cannot be
// compared.
enum class StoreHash : std::uint32_t {};

[[nodiscard]] StoreHash HashOfStore(std::string_view identity) noexcept;

// Fits an IPv6 packet of the minimum MTU, so that messages are not fragmented.
inline constexpr std::size_t kMaxPeerMessageBytes = 1200;
// Bytes of the IPv4 and UDP headers; counted as traffic.
inline constexpr std::size_t kDatagramHeaderBytes = 28;
inline constexpr std::uint8_t kPeerMessageVersion = 2;
// Maximum number of addresses in a message.
inline constexpr std::size_t kMaxPeerAddresses = 16;

// Asks for the addresses of instances of the sender's domain.
struct PeerIntroduction {
  // Number of addresses wanted.
  std::uint8_t wanted = 0;

  bool operator==(const PeerIntroduction&) const = default;
};

// Answers an introduction. The addresses are of the receiver's domain, also if
// the sender is in another one.
struct PeerAddresses {
  std::vector<V4Endpoint> addresses;

  bool operator==(const PeerAddresses&) const = default;
};

// The store's progress, see RevisionTime.
struct PeerRevisionTime {
  StoreHash store{};
  StoreRevision revision;
  // On the clock of the receiver.
  PeerTime time{};

  bool operator==(const PeerRevisionTime&) const = default;
};

// Observations of the sender; also shows that it is alive.
struct PeerSamples {
  // Increases with every message of this kind from one process. At ten messages
  // per second it lasts for 13 years.
  std::uint32_t sequence = 0;
  // Sorted by target; each target occurs at most once.
  std::vector<TargetSamples> samples;
  // Some instances of the sender's domain.
  std::vector<V4Endpoint> addresses;
  // On the clock of the sender.
  PeerTime sent{};
  // Set if the sender knows the receiver's clock and a recent read of the
  // store, its own or one that it was told of.
  std::optional<PeerRevisionTime> revision_time;

  bool operator==(const PeerSamples&) const = default;
};

struct EdgePeerMessage {
  PeerId sender{};
  // Domain of the sender.
  DomainHash domain{};
  std::variant<PeerIntroduction, PeerAddresses, PeerSamples> body;

  bool operator==(const EdgePeerMessage&) const = default;
};

// Reasons for which a received message is ignored.
enum class PeerRejection : std::uint8_t {
  kMalformed,
  kOtherVersion,
  kOtherDomain,  // samples of another failure domain
  kOwn,          // sent by this process
  kReordered,    // duplicate, or older than a message received before
  kStale,        // waited too long in the socket
  kFormerProcess,
  kForeignId,  // another address uses this sender id
  kTooFar,     // the directory is full of nearer instances
  kOverload,   // too many messages
};
inline constexpr std::size_t kPeerRejections = 10;

[[nodiscard]] std::string_view Name(PeerRejection reason) noexcept;

// Maximum number of bytes that the sample occupies in a message whose
// incarnations are not lower than `lowest`.
[[nodiscard]] std::size_t EncodedSizeLimit(const TargetSamples& samples,
                                           Incarnation lowest) noexcept;
// Maximum number of bytes of a samples message besides its samples.
[[nodiscard]] std::size_t SamplesOverhead(
    std::size_t addresses,
    const std::optional<StoreRevision>& revision) noexcept;

// Returns an empty vector if the message exceeds kMaxPeerMessageBytes.
// Preconditions: at most kMaxPeerAddresses addresses; samples are sorted.
[[nodiscard]] std::vector<std::byte> EncodeEdgePeerMessage(
    const EdgePeerMessage& message);

[[nodiscard]] std::variant<EdgePeerMessage, PeerRejection>
DecodeEdgePeerMessage(std::span<const std::byte> datagram);

}  // namespace sapphirestream

#endif  // SAPPHIRESTREAM_EDGE_PEER_MESSAGE_H_
