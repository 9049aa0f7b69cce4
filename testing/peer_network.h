// Many PeerExchange objects connected by an in-memory network with virtual
// time, loss and partitions.
#ifndef SAPPHIRESTREAM_TESTING_PEER_NETWORK_H_
#define SAPPHIRESTREAM_TESTING_PEER_NETWORK_H_

#include <algorithm>
#include <chrono>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "sapphirestream/edge/peer_exchange.h"
#include "testing/manual_clock.h"
#include "testing/null_log_sink.h"

namespace sapphirestream::testing {

using namespace std::chrono_literals;

// Records what arrives; returns what the test puts in.
struct FakeSampleStore final : SampleStore {
  std::vector<TargetSamples> TakeSamples(TimePoint /*now*/) override {
    return std::exchange(own, {});
  }
  void OnPeerSamples(PeerId peer, const std::vector<TargetSamples>& samples,
                     TimePoint /*now*/) override {
    erased.erase(peer);
    auto& known = of_peer[peer];
    for (const TargetSamples& entry : samples) {
      received_requests += entry.count;
      known[entry.target] = entry;
    }
  }
  void ErasePeer(PeerId peer) override {
    of_peer.erase(peer);
    erased.insert(peer);
  }

  std::vector<TargetSamples> own;
  std::map<PeerId, std::map<TargetKey, TargetSamples>> of_peer;
  std::set<PeerId> erased;
  std::uint64_t received_requests = 0;
};

struct FakeStoreProgress final : StoreProgress {
  [[nodiscard]] std::optional<RevisionTime> Latest() const override {
    return latest;
  }
  bool Merge(const RevisionTime& time) override {
    if (latest && time.time <= latest->time) return false;
    latest = time;
    return true;
  }

  std::optional<RevisionTime> latest;
};

inline V4Endpoint PeerAddress(std::size_t number) {
  return {0x0a000001 + static_cast<std::uint32_t>(number), 7000};
}

inline TargetSamples Samples(std::uint64_t key, std::uint32_t count,
                             std::uint32_t outstanding = 0) {
  constexpr std::uint64_t start_ms = 1'780'000'000'000;
  return {TargetKey{0x5a00000000 + key * 0x1234567},
          Incarnation{start_ms + key * 1000},
          count,
          0,
          count * 1100ULL,
          outstanding};
}

class PeerNetwork {
 public:
  struct Node final : PeerSink {
    Node(PeerNetwork& parent, std::size_t node_number)
        : network(parent), number(node_number) {}
    void Send(V4Endpoint to, std::span<const std::byte> datagram) override {
      network.Deliver(PeerAddress(number), to, datagram);
    }

    PeerNetwork& network;
    std::size_t number;
    FakeSampleStore store;
    FakeStoreProgress store_progress;
    CounterSet counters;
    std::unique_ptr<PeerExchange> exchange;
    TimePoint next_tick;
    // Neither ticks nor reads its datagrams.
    bool hung = false;
    // Side of a partition.
    int side = 0;
  };
  struct Datagram {
    V4Endpoint from;
    V4Endpoint to;
    std::vector<std::byte> bytes;
    TimePoint arrives;
  };

  explicit PeerNetwork(std::uint64_t seed) : random(seed) {}

  // Starts an instance, or restarts it. Returns its process id.
  PeerId Start(std::size_t number, const std::string& domain,
               std::vector<V4Endpoint> seeds) {
    auto& node = nodes[PeerAddress(number).address];
    node = std::make_unique<Node>(*this, number);
    const PeerId id{random.Next()};
    node->exchange = std::make_unique<PeerExchange>(
        PeerExchangeOptions{PeerAddress(number), id, domain, std::move(seeds),
                            "store"},
        node->store, node->store_progress, *node, random, log, node->counters,
        clock.Now());
    node->next_tick = clock.Now();
    return id;
  }
  void Stop(std::size_t number) { nodes.erase(PeerAddress(number).address); }
  Node& At(std::size_t number) {
    return *nodes.at(PeerAddress(number).address);
  }

  void Run(Duration time) {
    const TimePoint end = clock.Now() + time;
    while (clock.Now() < end) {
      clock.Advance(10ms);
      Step();
    }
  }

  void Deliver(V4Endpoint from, V4Endpoint to,
               std::span<const std::byte> bytes) {
    const auto receiver = nodes.find(to.address);
    if (random.Unit() < loss || receiver == nodes.end()) return;
    if (receiver->second->side != nodes.at(from.address)->side) return;
    in_transit.push_back(
        {from, to, {bytes.begin(), bytes.end()}, clock.Now() + 1ms});
  }

  // Bytes that a node has sent and received.
  [[nodiscard]] static double Bytes(const CounterSet& counters) {
    double bytes = 0;
    for (const auto& [name, value] : counters.Read()) {
      if (name == "peer_sent_bytes_total" ||
          name == "peer_received_bytes_total") {
        bytes += static_cast<double>(value);
      }
    }
    return bytes;
  }
  [[nodiscard]] static std::uint64_t Rejected(const CounterSet& counters,
                                              PeerRejection reason) {
    for (const auto& [name, value] : counters.Read()) {
      if (name == "peer_messages_rejected_total{reason=\"" +
                      std::string(Name(reason)) + "\"}") {
        return value;
      }
    }
    return 0;
  }

  ManualClock clock;
  NullLogSink sink;
  EventLog log{sink, clock};
  SeededRandom random;
  double loss = 0;
  std::map<std::uint32_t, std::unique_ptr<Node>> nodes;
  std::deque<Datagram> in_transit;

 private:
  void Step() {
    const TimePoint now = clock.Now();
    for (auto& [address, node] : nodes) {
      if (node->hung || now < node->next_tick) continue;
      node->next_tick = now + PeerExchange::kTickInterval;
      node->exchange->Tick(now);
    }
    std::deque<Datagram> arrived = std::exchange(in_transit, {});
    for (Datagram& datagram : arrived) {
      const auto receiver = nodes.find(datagram.to.address);
      if (receiver == nodes.end()) continue;
      if (receiver->second->hung) {
        in_transit.push_back(std::move(datagram));
        continue;
      }
      receiver->second->exchange->OnDatagram(datagram.from, datagram.bytes,
                                             now - datagram.arrives, now);
    }
  }
};

}  // namespace sapphirestream::testing

#endif  // SAPPHIRESTREAM_TESTING_PEER_NETWORK_H_
