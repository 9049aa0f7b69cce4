#include "sapphirestream/edge/peer_exchange.h"

#include <algorithm>
#include <utility>

#include "sapphirestream/base/duration.h"
#include "sapphirestream/base/id.h"
#include "sapphirestream/edge/peer_ring.h"

namespace sapphirestream {
namespace {

// Ticks of a busy process are a little late or early.
constexpr Duration kTickTolerance = PeerExchange::kTickInterval / 2;
// Period over which bytes are budgeted.
constexpr Duration kPeriod = IntroductionBudget::kPeriod;
static_assert(kPeriod == PeerExchange::kMaxSendInterval);
// A peer that is no neighbor of this instance, but sends samples, lacks the
// addresses of nearer peers; it gets some at most this often.
constexpr Duration kAddressesInterval = std::chrono::seconds(1);

constexpr std::size_t BytesPerPeriod(std::size_t rate) {
  return rate * static_cast<std::size_t>(kPeriod.count()) /
         static_cast<std::size_t>(std::chrono::nanoseconds::period::den);
}

constexpr Duration TimeFor(std::size_t bytes, std::size_t rate) {
  return std::chrono::nanoseconds(std::chrono::seconds(1)) *
         static_cast<Duration::rep>(bytes) / static_cast<Duration::rep>(rate);
}

std::vector<V4Endpoint> Without(std::vector<V4Endpoint> addresses,
                                V4Endpoint excluded) {
  std::erase(addresses, excluded);
  return addresses;
}

std::vector<TargetSamples> Clamp(std::vector<TargetSamples> samples) {
  for (TargetSamples& entry : samples) {
    entry.count = std::min(entry.count, PeerExchange::kMaxRequests);
    entry.failures = std::min(entry.failures, entry.count);
    entry.outstanding = std::min(entry.outstanding, PeerExchange::kMaxRequests);
    entry.relative_time_permille = std::min(
        entry.relative_time_permille, PeerExchange::kMaxRelativeTimePermille *
                                          (entry.count - entry.failures));
  }
  return samples;
}

}  // namespace

PeerExchange::PeerExchange(const PeerExchangeOptions& options,
                           SampleStore& store, StoreProgress& store_progress,
                           PeerSink& sink, Random& random, EventLog& log,
                           CounterSet& counters, TimePoint now)
    : id_(options.id),
      domain_(HashOfDomain(options.domain)),
      store_(store),
      store_progress_(store_progress),
      sink_(sink),
      random_(random),
      log_(log),
      counters_(counters),
      clock_(static_cast<std::uint32_t>(random.Next()), now),
      store_hash_(HashOfStore(options.store)),
      directory_(options.own, random),
      seeds_(Without(options.seeds, options.own), random) {}

void PeerExchange::SetSeeds(std::vector<V4Endpoint> seeds) {
  seeds_ = PeerSeeds(Without(std::move(seeds), directory_.own()), random_);
}

void PeerExchange::SetStore(std::string_view identity) {
  store_hash_ = HashOfStore(identity);
}

void PeerExchange::OnStoreRead(TimePoint now) {
  const auto latest = store_progress_.Latest();
  if (!latest || latest->time <= shared_read_ || neighbors_.empty()) return;
  SendSamples(now);
}

void PeerExchange::Tick(TimePoint now) {
  Expire(now);
  directory_.UpdateNeighbors(now);
  if (auto neighbors = directory_.Neighbors(); neighbors != neighbors_) {
    neighbors_ = std::move(neighbors);
    neighbors_changed_ = now;
  }
  CollectSamples(now);
  ContactOthers(now);
  SendSamplesIfDue(now);
  counters_.known.Set(directory_.size());
  counters_.neighbors.Set(neighbors_.size());
  last_tick_ = now;
}

void PeerExchange::OnDatagram(V4Endpoint from,
                              std::span<const std::byte> datagram, Duration age,
                              TimePoint now) {
  const std::size_t size = datagram.size() + kDatagramHeaderBytes;
  counters_.received.Add();
  counters_.received_bytes.Add(size);
  const auto decoded = DecodeEdgePeerMessage(datagram);
  Rejection rejection;
  if (const auto* message = std::get_if<EdgePeerMessage>(&decoded)) {
    if (!std::holds_alternative<PeerSamples>(message->body)) {
      introduction_budget_.OnReceived(size);
    }
    rejection = age > kMaxMessageAge ? PeerRejection::kStale
                                     : Handle(from, *message, now - age, now);
  } else {
    rejection = std::get<PeerRejection>(decoded);
  }
  if (!rejection) return;
  counters_.Reject(*rejection);
  log_.Write(LogLevel::kWarn, "peer_message_rejected",
             {{"from", ToString(from)},
              {"reason", Name(*rejection)},
              {"bytes", datagram.size()},
              {"age_ms", Milliseconds(age)}});
}

PeerExchange::Rejection PeerExchange::Handle(V4Endpoint from,
                                             const EdgePeerMessage& message,
                                             TimePoint arrived, TimePoint now) {
  if (message.sender == id_) return PeerRejection::kOwn;
  if (std::holds_alternative<PeerIntroduction>(message.body)) {
    return OnIntroduction(from, message, arrived, now);
  }
  if (std::holds_alternative<PeerAddresses>(message.body)) {
    return OnAddresses(from, message, arrived, now);
  }
  return OnSamples(from, message, arrived, now);
}

PeerExchange::Rejection PeerExchange::OnIntroduction(
    V4Endpoint from, const EdgePeerMessage& message, TimePoint arrived,
    TimePoint now) {
  const auto& body = std::get<PeerIntroduction>(message.body);
  introductions_.Add(message.domain, from, now);
  if (message.domain == domain_) {
    const auto heard = OnHeard(from, message.sender, /*sequence=*/0, arrived);
    const auto* rejection = std::get_if<PeerRejection>(&heard);
    // The sender needs the addresses of nearer instances.
    if (rejection != nullptr && *rejection != PeerRejection::kTooFar) {
      return *rejection;
    }
  }
  if (!introduction_budget_.is_available()) return PeerRejection::kOverload;
  SendAddresses(from, message.domain, body.wanted, now);
  return std::nullopt;
}

PeerExchange::Rejection PeerExchange::OnAddresses(
    V4Endpoint from, const EdgePeerMessage& message, TimePoint arrived,
    TimePoint now) {
  if (message.domain == domain_) {
    const auto heard = OnHeard(from, message.sender, /*sequence=*/0, arrived);
    const auto* rejection = std::get_if<PeerRejection>(&heard);
    if (rejection != nullptr && *rejection != PeerRejection::kTooFar) {
      return *rejection;
    }
  }
  const auto& body = std::get<PeerAddresses>(message.body);
  for (const V4Endpoint address : body.addresses) {
    directory_.OnMentioned(address, now);
  }
  ContactMentioned(now);
  return std::nullopt;
}

PeerExchange::Rejection PeerExchange::OnSamples(V4Endpoint from,
                                                const EdgePeerMessage& message,
                                                TimePoint arrived,
                                                TimePoint now) {
  if (message.domain != domain_) return PeerRejection::kOtherDomain;
  const auto& body = std::get<PeerSamples>(message.body);
  const auto heard = OnHeard(from, message.sender, body.sequence, arrived);
  if (const auto* rejection = std::get_if<PeerRejection>(&heard)) {
    return *rejection;
  }
  PeerEntry& peer = *std::get<PeerEntry*>(heard);
  if (!peer.rate.Accept(kMaxMessagesPerSecond, now)) {
    return PeerRejection::kOverload;
  }
  if (!peer.samples_heard) {
    log_.Write(LogLevel::kInfo, "peer_joined",
               {{"peer", Value(peer.id)}, {"address", ToString(peer.address)}});
  }
  peer.samples_heard = arrived;
  peer.clock = {body.sent, now};
  MergeRevision(body.revision_time, now);
  if (!peer.is_neighbor && now >= peer.next_contact) {
    peer.next_contact = now + kAddressesInterval;
    SendAddresses(from, domain_, kAddressesPerMessage, now);
  }
  store_.OnPeerSamples(message.sender, Clamp(body.samples), now);
  for (const V4Endpoint address : body.addresses) {
    directory_.OnMentioned(address, now);
  }
  return std::nullopt;
}

void PeerExchange::MergeRevision(const std::optional<PeerRevisionTime>& time,
                                 TimePoint now) {
  if (!time || time->store != store_hash_) return;
  const auto read = clock_.FromPeerTime(time->time, now);
  if (!read || !store_progress_.Merge({*read, time->revision})) return;
  shared_read_ = *read;
  sent_reads_ = 0;
  counters_.revisions_learned.Add();
}

std::optional<RevisionTime> PeerExchange::RevisionToTell(TimePoint now) {
  auto latest = store_progress_.Latest();
  if (!latest || now - latest->time > kMaxRevisionAge) return std::nullopt;
  if (latest->time > shared_read_) {
    shared_read_ = latest->time;
    sent_reads_ = 0;
  }
  if (sent_reads_ >= kRevisionSends) return std::nullopt;
  return latest;
}

std::optional<PeerRevisionTime> PeerExchange::RevisionFor(
    V4Endpoint neighbor, const std::optional<RevisionTime>& time,
    TimePoint now) const {
  if (!time) return std::nullopt;
  const PeerEntry* const peer = directory_.Find(neighbor);
  const bool is_clock_known =
      peer != nullptr && peer->clock &&
      now - peer->clock->received < PeerDirectory::kSilenceTimeout;
  if (!is_clock_known) return std::nullopt;
  return PeerRevisionTime{.store = store_hash_,
                          .revision = time->revision,
                          .time = peer->clock->At(time->time)};
}

std::variant<PeerEntry*, PeerRejection> PeerExchange::OnHeard(
    V4Endpoint from, PeerId id, std::uint32_t sequence, TimePoint arrived) {
  const auto heard = directory_.OnHeard(from, id, sequence, arrived);
  if (const auto* rejection = std::get_if<PeerRejection>(&heard)) {
    return *rejection;
  }
  const auto& [peer, replaced] = std::get<PeerDirectory::HeardPeer>(heard);
  if (replaced) {
    store_.ErasePeer(*replaced);
    LogLost(from, *replaced, "restarted", Duration::zero());
  }
  return peer;
}

void PeerExchange::Expire(TimePoint now) {
  const auto lost = directory_.Expire(now);
  for (const PeerDirectory::LostPeer& peer : lost) {
    store_.ErasePeer(peer.id);
    LogLost(peer.address, peer.id,
            peer.was_neighbor ? "silent" : "not_neighbor", peer.silent);
  }
  if (!lost.empty() && directory_.LivePeers(now).empty()) seeds_.Reset();
  introductions_.Expire(now);
  introduction_budget_.Advance(now);
}

void PeerExchange::CollectSamples(TimePoint now) {
  backlog_.Merge(store_.TakeSamples(now), now);
  const bool was_paused = last_tick_ && now - *last_tick_ > kMaxTickGap;
  if (was_paused || neighbors_.empty()) backlog_.ClearSums();
}

void PeerExchange::ContactOthers(TimePoint now) {
  const bool needs_seeds = neighbors_.size() < PeerDirectory::kMaxNeighbors ||
                           directory_.IsRepresentative();
  const bool is_alone = directory_.LivePeers(now).empty();
  if (const auto seed = seeds_.Take(needs_seeds, is_alone, now)) {
    SendIntroduction(*seed, kMaxPeerAddresses);
  }
  ContactMentioned(now);
}

void PeerExchange::ContactMentioned(TimePoint now) {
  if (!introduction_budget_.is_available()) return;
  for (const V4Endpoint address :
       directory_.TakeContacts(kMaxPeerAddresses, now)) {
    SendIntroduction(address, kAddressesPerMessage);
  }
}

void PeerExchange::SendSamplesIfDue(TimePoint now) {
  if (neighbors_.empty()) return;
  const TimePoint due = backlog_.has_changes() ? send_at_ : send_idle_at_;
  if (now + kTickTolerance < due) return;
  SendSamples(now);
}

void PeerExchange::SendSamples(TimePoint now) {
  ++sequence_;
  const auto revision = RevisionToTell(now);
  const bool has_addresses = sequence_ % kAddressesEvery == 0 ||
                             now - neighbors_changed_ < kSettlingTime;
  const std::size_t addresses = has_addresses ? kAddressesPerMessage : 0;
  const auto samples = backlog_.Take(RoomForSamples(addresses, revision), now);
  const auto live = directory_.LivePeers(now);
  std::size_t bytes = 0;
  bool is_read_told = false;
  for (const V4Endpoint neighbor : neighbors_) {
    PeerSamples body{sequence_,
                     samples,
                     {},
                     clock_.ToPeerTime(now),
                     RevisionFor(neighbor, revision, now)};
    is_read_told = is_read_told || body.revision_time.has_value();
    if (addresses > 0) {
      body.addresses = live;
      SelectAddressesFor(neighbor, addresses, random_, body.addresses);
    }
    bytes += Send(neighbor, {id_, domain_, std::move(body)});
  }
  if (is_read_told) ++sent_reads_;
  const Duration interval = std::clamp(TimeFor(bytes, SamplesRate()),
                                       kTickInterval, kMaxSendInterval);
  send_at_ = std::max(send_at_, now) + interval;
  send_idle_at_ = now + kMaxSendInterval;
}

std::size_t PeerExchange::RoomForSamples(
    std::size_t addresses, const std::optional<RevisionTime>& time) const {
  const std::size_t share = std::min(
      BytesPerPeriod(SamplesRate()) / neighbors_.size(), kMaxPeerMessageBytes);
  const std::size_t overhead =
      kDatagramHeaderBytes +
      SamplesOverhead(addresses,
                      time ? std::optional(time->revision) : std::nullopt);
  return share > overhead ? share - overhead : 0;
}

std::size_t PeerExchange::SamplesRate() const noexcept {
  constexpr std::size_t per_period = BytesPerPeriod(kMaxSendRate);
  const std::size_t used = std::min(introduction_budget_.used(), per_period);
  const std::size_t left = (per_period - used) * kMaxSendRate / per_period;
  return std::clamp<std::size_t>(left, 1, kMaxNeighborRate * neighbors_.size());
}

void PeerExchange::SendIntroduction(V4Endpoint to, std::size_t wanted) {
  introduction_budget_.OnSent(Send(
      to, {id_, domain_, PeerIntroduction{static_cast<std::uint8_t>(wanted)}}));
}

void PeerExchange::SendAddresses(V4Endpoint to, DomainHash domain,
                                 std::size_t limit, TimePoint now) {
  std::vector<V4Endpoint> addresses = introductions_.AddressesOf(domain);
  if (domain == domain_) {
    for (const V4Endpoint live : directory_.LivePeers(now)) {
      if (std::find(addresses.begin(), addresses.end(), live) ==
          addresses.end()) {
        addresses.push_back(live);
      }
    }
  }
  const std::size_t max_addresses = introduction_budget_.is_short()
                                        ? kAddressesPerMessage
                                        : kMaxPeerAddresses;
  SelectAddressesFor(to, std::min(limit, max_addresses), random_, addresses);
  introduction_budget_.OnSent(
      Send(to, {id_, domain_, PeerAddresses{std::move(addresses)}}));
}

std::size_t PeerExchange::Send(V4Endpoint to, const EdgePeerMessage& message) {
  const std::vector<std::byte> datagram = EncodeEdgePeerMessage(message);
  const std::size_t size = datagram.size() + kDatagramHeaderBytes;
  counters_.sent.Add();
  counters_.sent_bytes.Add(size);
  sink_.Send(to, datagram);
  return size;
}

void PeerExchange::LogLost(V4Endpoint address, PeerId id,
                           std::string_view reason, Duration silent) {
  log_.Write(LogLevel::kWarn, "peer_lost",
             {{"peer", Value(id)},
              {"address", ToString(address)},
              {"reason", reason},
              {"age_ms", Milliseconds(silent)}});
}

}  // namespace sapphirestream
