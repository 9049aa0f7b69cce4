// State machine of the target side of connections.
#include "testing/standins/target_peer.h"

namespace sapphirestream::standins {
namespace {

constexpr std::uint32_t kFirstSequence = 1'000'000;

FlowKey KeyOf(ServiceId service, const Segment& segment) {
  return {segment.source.address, service, segment.source.port,
          segment.protocol};
}

}  // namespace

TargetPeers::TargetPeers(const Options& options, Sender sender)
    : options_(options), sender_(std::move(sender)), loads_(options.targets) {}

void TargetPeers::OnSegment(std::size_t target, ServiceId service,
                            const Segment& segment, TimePoint now) {
  const FlowKey key = KeyOf(service, segment);
  const bool opens = segment.protocol == Protocol::kUdp
                         ? !segment.payload.empty()
                         : segment.syn && !segment.ack;
  auto it = connections_.find(key);
  if (it == connections_.end()) {
    if (!opens) return Reset(target, key, segment);
    if (connections_.size() >= options_.max_connections) {
      ++totals_.ignored;
      return;
    }
    Open(target, key, segment);
    it = connections_.find(key);
  }
  Connection& connection = it->second;
  if (connection.target != target) {
    ++totals_.misplaced_packets;
    // As a real target does with an unknown connection.
    return Reset(target, key, segment);
  }
  if (segment.rst) return Close(key, connection);
  if (segment.syn) {
    return Answer(key, connection, {.syn = true, .ack = true});
  }
  if (!segment.payload.empty()) OnData(key, connection, segment, now);
  if (segment.fin) {
    Close(key, connection);
    Answer(key, connection, {.ack = true, .fin = true});
  }
}

void TargetPeers::Open(std::size_t target, const FlowKey& key,
                       const Segment& segment) {
  Connection& connection = connections_[key];
  connection.target = target;
  connection.client = segment.source;
  connection.server = segment.destination;
  const bool is_tcp = segment.protocol == Protocol::kTcp;
  connection.expected = is_tcp ? segment.sequence + 1 : 0;
  connection.next = kFirstSequence;
  ++loads_[target].open;
  ++loads_[target].open_by_service[key.service];
}

void TargetPeers::OnData(const FlowKey& key, Connection& connection,
                         const Segment& segment, TimePoint now) {
  const auto message = ParseMessage(segment.payload);
  if (!message || connection.closed) return;
  const bool is_new = segment.protocol == Protocol::kUdp ||
                      segment.sequence == connection.expected;
  if (is_new) {
    connection.expected += static_cast<std::uint32_t>(segment.payload.size());
  } else if (segment.sequence - connection.expected < 0x8000'0000) {
    return;  // ahead of the expected byte; the client sends one part at a time
  }
  if (message->kind == MessageKind::kOrder) {
    if (is_new) {
      connection.order = message->number;
      Load& load = loads_[connection.target];
      if (load.busy < options_.slots) {
        Run(key, connection, now);
      } else {
        load.waiting.push_back(key);
        load.max_waiting = std::max(
            load.max_waiting, static_cast<std::uint32_t>(load.waiting.size()));
      }
      return;
    }
    if (!connection.order_done) return;
  }
  Answer(key, connection,
         {.ack = true,
          .payload = BuildMessage({MessageKind::kAnswer, message->number})});
}

void TargetPeers::Run(const FlowKey& key, Connection& connection,
                      TimePoint now) {
  Load& load = loads_[connection.target];
  ++load.busy;
  ++load.orders_run;
  ++totals_.orders_run;
  if (++runs_[connection.order] > 1) ++totals_.orders_repeated;
  running_.push_back({now + options_.service_time, key});
}

void TargetPeers::OnTimer(TimePoint now) {
  while (!running_.empty() && running_.front().until <= now) {
    const FlowKey key = running_.front().key;
    running_.pop_front();
    Finish(key, now);
  }
}

void TargetPeers::Finish(const FlowKey& key, TimePoint now) {
  Connection& connection = connections_.at(key);
  Load& load = loads_[connection.target];
  --load.busy;
  connection.order_done = true;
  Answer(key, connection,
         {.ack = true,
          .payload = BuildMessage({MessageKind::kAnswer, connection.order})});
  if (load.waiting.empty()) return;
  const FlowKey next = load.waiting.front();
  load.waiting.pop_front();
  Run(next, connections_.at(next), now);
}

void TargetPeers::Close(const FlowKey& key, Connection& connection) {
  if (connection.closed) return;
  connection.closed = true;
  Load& load = loads_[connection.target];
  --load.open;
  --load.open_by_service[key.service];
}

void TargetPeers::Answer(const FlowKey& key, const Connection& connection,
                         Segment segment) const {
  segment.protocol = key.protocol;
  segment.source = connection.server;
  segment.destination = connection.client;
  segment.sequence = connection.next;
  segment.acknowledged = connection.expected;
  sender_(connection.target, key.service, segment);
}

void TargetPeers::Reset(std::size_t target, const FlowKey& key,
                        const Segment& segment) {
  if (segment.rst || segment.protocol != Protocol::kTcp) return;
  ++totals_.resets;
  sender_(target, key.service,
          {.protocol = key.protocol,
           .source = segment.destination,
           .destination = segment.source,
           .rst = true,
           .sequence = segment.acknowledged});
}

}  // namespace sapphirestream::standins
