// Exchange of observations between the instances of a failure domain.
#ifndef SAPPHIRESTREAM_EDGE_PEER_EXCHANGE_H_
#define SAPPHIRESTREAM_EDGE_PEER_EXCHANGE_H_

#include <cstddef>
#include <cstdint>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "sapphirestream/base/clock.h"
#include "sapphirestream/base/counter.h"
#include "sapphirestream/base/event_log.h"
#include "sapphirestream/base/random.h"
#include "sapphirestream/base/revision_time.h"
#include "sapphirestream/edge/introduction_budget.h"
#include "sapphirestream/edge/peer_counters.h"
#include "sapphirestream/edge/peer_directory.h"
#include "sapphirestream/edge/peer_introductions.h"
#include "sapphirestream/edge/peer_message.h"
#include "sapphirestream/edge/peer_seeds.h"
#include "sapphirestream/edge/sample_backlog.h"
#include "sapphirestream/edge/target_samples.h"
#include "sapphirestream/edge/v4_endpoint.h"

namespace sapphirestream {

class PeerSink {
 public:
  virtual ~PeerSink() = default;
  // Sends a datagram. It may be lost, duplicated or reordered.
  virtual void Send(V4Endpoint to, std::span<const std::byte> datagram) = 0;
};

struct PeerExchangeOptions {
  // Address of this instance as seen by others.
  V4Endpoint own;
  // Random; each process selects a new one.
  PeerId id{};
  // Name of the failure domain.
  std::string domain;
  // Addresses of some instances of any domain; may be stale, and may include
  // the own one.
  std::vector<V4Endpoint> seeds;
  // Identity of the store that this instance reads.
  std::string store;
};

class PeerExchange {
 public:
  // Interval at which Tick() has to be called; the shortest time between two
  // messages to a neighbor.
  static constexpr Duration kTickInterval = std::chrono::milliseconds(100);
  // Longest time between two messages to a neighbor, also when idle: two of
  // them may be lost before the neighbor misses them.
  static constexpr Duration kMaxSendInterval = std::chrono::milliseconds(400);
  static_assert(SampleBacklog::kRepeatInterval < kMaxSendInterval);
  static_assert(3 * kMaxSendInterval < kSamplesTimeout);
  // A message that waited longer was queued while this process was not running,
  // and its counts of outstanding requests are out of date.
  static constexpr Duration kMaxMessageAge = std::chrono::milliseconds(500);
  // If two ticks are further apart, the process was not running; the requests
  // that it observed seemed longer than they were.
  static constexpr Duration kMaxTickGap = std::chrono::seconds(1);
  // Bytes per second sent to all others, headers included. An instance receives
  // about as much, and a little more from new instances that do not know their
  // neighbors yet; together this is below 26 KB/s, but for seeds while many
  // instances start (docs/design/peer-exchange.md).
  static constexpr std::size_t kMaxSendRate = 10'000;
  // Bytes per second sent to each neighbor. Covers the samples of 20 requests
  // per second; limits the traffic of small domains.
  static constexpr std::size_t kMaxNeighborRate = 500;
  // Addresses in a message, except in answers of seeds. All samples messages
  // hold some soon after the neighbors have changed, and one in four otherwise.
  static constexpr std::size_t kAddressesPerMessage = 4;
  static constexpr std::uint32_t kAddressesEvery = 4;
  static constexpr Duration kSettlingTime = std::chrono::seconds(1);
  // Messages with samples that are accepted from one peer per second; twice as
  // many as it may send.
  static constexpr std::uint32_t kMaxMessagesPerSecond = 20;
  // Messages to each neighbor that tell a read of the store; the first one may
  // be lost.
  static constexpr std::uint32_t kRevisionSends = 2;
  // Older reads of the store are not passed on: with bounds of a few seconds,
  // views that they complete are due for a check already.
  static constexpr Duration kMaxRevisionAge = std::chrono::seconds(2);
  // Limits of what is accepted about one target in one message. An instance
  // does not handle more requests in half a second.
  static constexpr std::uint32_t kMaxRequests = 10'000;
  // A request that took a thousand times as long as expected is as bad as one
  // that took longer.
  static constexpr std::uint64_t kMaxRelativeTimePermille = 1'000'000;

  // The references must outlive the exchange.
  PeerExchange(const PeerExchangeOptions& options, SampleStore& store,
               StoreProgress& store_progress, PeerSink& sink, Random& random,
               EventLog& log, CounterSet& counters, TimePoint now);

  // Sends what is due. To be called every kTickInterval.
  void Tick(TimePoint now);
  // A datagram was read that arrived `age` ago.
  void OnDatagram(V4Endpoint from, std::span<const std::byte> datagram,
                  Duration age, TimePoint now);

  // The store may have been read. Tells the neighbors at once, ahead of the
  // next regular message, which is sent later instead: they need no current
  // read of their own then.
  void OnStoreRead(TimePoint now);

  // Replaces the addresses of the seeds.
  void SetSeeds(std::vector<V4Endpoint> seeds);
  // Another store is read from now on.
  void SetStore(std::string_view identity);

  // Addresses known in this domain, not counting the own one.
  [[nodiscard]] std::size_t known_peers() const noexcept {
    return directory_.size();
  }
  // Instances that receive the samples of this one.
  [[nodiscard]] std::size_t neighbors() const noexcept {
    return neighbors_.size();
  }

 private:
  using Rejection = std::optional<PeerRejection>;
  // Return the reason if the message is ignored.
  Rejection Handle(V4Endpoint from, const EdgePeerMessage& message,
                   TimePoint arrived, TimePoint now);
  Rejection OnIntroduction(V4Endpoint from, const EdgePeerMessage& message,
                           TimePoint arrived, TimePoint now);
  Rejection OnAddresses(V4Endpoint from, const EdgePeerMessage& message,
                        TimePoint arrived, TimePoint now);
  Rejection OnSamples(V4Endpoint from, const EdgePeerMessage& message,
                      TimePoint arrived, TimePoint now);
  // Adds what a neighbor has read of the store.
  void MergeRevision(const std::optional<PeerRevisionTime>& time,
                     TimePoint now);
  // Returns what the neighbors are told about the store, if anything.
  [[nodiscard]] std::optional<RevisionTime> RevisionToTell(TimePoint now);
  // Returns `time` on the clock of the neighbor, if that is known.
  [[nodiscard]] std::optional<PeerRevisionTime> RevisionFor(
      V4Endpoint neighbor, const std::optional<RevisionTime>& time,
      TimePoint now) const;
  // Updates the directory. Discards the counts of a former process.
  std::variant<PeerEntry*, PeerRejection> OnHeard(V4Endpoint from, PeerId id,
                                                  std::uint32_t sequence,
                                                  TimePoint arrived);
  void Expire(TimePoint now);
  void CollectSamples(TimePoint now);
  void ContactOthers(TimePoint now);
  // Contacts addresses that others have mentioned.
  void ContactMentioned(TimePoint now);
  void SendSamplesIfDue(TimePoint now);
  // Also sets the time of the next message.
  void SendSamples(TimePoint now);
  // Bytes of samples that fit into the next message to each neighbor.
  [[nodiscard]] std::size_t RoomForSamples(
      std::size_t addresses, const std::optional<RevisionTime>& time) const;
  // Bytes per second that may be sent to all neighbors together.
  [[nodiscard]] std::size_t SamplesRate() const noexcept;
  void SendIntroduction(V4Endpoint to, std::size_t wanted);
  void SendAddresses(V4Endpoint to, DomainHash domain, std::size_t limit,
                     TimePoint now);
  // Returns the size of the datagram with its headers.
  std::size_t Send(V4Endpoint to, const EdgePeerMessage& message);
  void LogLost(V4Endpoint address, PeerId id, std::string_view reason,
               Duration silent);

  PeerId id_;
  DomainHash domain_;
  SampleStore& store_;
  StoreProgress& store_progress_;
  PeerSink& sink_;
  Random& random_;
  EventLog& log_;
  PeerCounters counters_;
  PeerClock clock_;
  StoreHash store_hash_;
  PeerDirectory directory_;
  PeerSeeds seeds_;
  PeerIntroductions introductions_;
  SampleBacklog backlog_;
  // As of the last tick.
  std::vector<V4Endpoint> neighbors_;
  TimePoint neighbors_changed_{};
  std::uint32_t sequence_ = 0;
  IntroductionBudget introduction_budget_;
  std::optional<TimePoint> last_tick_;
  // Latest read of the store that the neighbors know of, or that one of them
  // has told, and the number of times that it was sent.
  TimePoint shared_read_{};
  std::uint32_t sent_reads_ = 0;
  // Next samples messages: earliest time with samples, and without.
  TimePoint send_at_{};
  TimePoint send_idle_at_{};
};

}  // namespace sapphirestream

#endif  // SAPPHIRESTREAM_EDGE_PEER_EXCHANGE_H_
