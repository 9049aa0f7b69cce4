// Clients with retransmission, and a fabric that spreads packets over
// instances. traffic_targets.cc handles the targets, traffic_result.cc the
// results.
#include "bench/fleet/traffic.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace sapphirestream::fleet {
namespace {

constexpr Duration kOpenRto = std::chrono::seconds(1);
constexpr Duration kDataRto = std::chrono::milliseconds(400);
constexpr int kMaxAttempts = 7;

}  // namespace

Traffic::Traffic(const TrafficOptions& options)
    : options_(options), random_(options.seed) {}

void Traffic::Attach(System& system) {
  system_ = &system;
  SendReports();
  SampleLoad();
}

void Traffic::After(Duration delay, EventQueue::Action action) {
  system_->queue().After(delay, std::move(action));
}

Duration Traffic::Exponential(Duration mean) {
  return std::chrono::duration_cast<Duration>(mean *
                                              -std::log(1.0 - random_.Unit()));
}

InstanceId Traffic::PickInstance(DomainId client) {
  for (const InstanceId id : system_->live()) {
    fabric_[id] = now() + options_.fabric_lag;
  }
  std::erase_if(fabric_, [&](const auto& e) { return e.second < now(); });
  std::vector<InstanceId> reachable;
  for (const auto& [id, until] : fabric_) {
    if (!system_->IsCut(client, system_->DomainOf(id))) reachable.push_back(id);
  }
  if (reachable.empty()) return kNoInstance;
  return reachable[random_.Below(reachable.size())];
}

std::uint64_t Traffic::Start(ServiceId service, Kind kind) {
  const std::uint64_t id = next_flow_++;
  Flow& flow = flows_[id];
  flow.kind = kind;
  flow.started = now();
  Packet& packet = flow.first;
  packet.key.service = service;
  packet.key.client = MakeV4(10, static_cast<std::uint8_t>(id >> 32),
                             static_cast<std::uint8_t>(id >> 24),
                             static_cast<std::uint8_t>(id >> 16));
  packet.key.client_port = static_cast<std::uint16_t>(id);
  packet.key.protocol =
      kind == Kind::kDatagram ? Protocol::kUdp : Protocol::kTcp;
  packet.hash = HashFlow(packet.key);
  packet.syn = kind != Kind::kDatagram;
  packet.sequence = static_cast<std::uint32_t>(random_.Next());
  flow.sequence = packet.sequence + 1;
  if (kind == Kind::kDatagram) packet.payload_size = 100;
  const bool is_stream = kind == Kind::kStream || kind == Kind::kShort;
  ++(is_stream ? result_.streams : result_.requests);
  SendFirst(id);
  return id;
}

void Traffic::Send(std::uint64_t id, const Packet& packet) {
  ++result_.packets;
  const InstanceId to = PickInstance(ClientDomain(id));
  if (to == kNoInstance) return;
  After(options_.client_delay, [this, id, packet, to] {
    system_->Deliver(to, {packet, id});
  });
}

void Traffic::SendFirst(std::uint64_t id) {
  Flow& flow = flows_.at(id);
  Send(id, flow.first);
  Retry(id, kOpenRto * (1 << std::min(flow.attempts, 5)), &Traffic::RetryFirst);
}

void Traffic::Retry(std::uint64_t id, Duration wait,
                    void (Traffic::*action)(std::uint64_t)) {
  const std::uint32_t epoch = flows_.at(id).epoch;
  After(wait, [this, id, epoch, action] {
    const auto it = flows_.find(id);
    if (it != flows_.end() && it->second.epoch == epoch) (this->*action)(id);
  });
}

void Traffic::RetryFirst(std::uint64_t id) {
  Flow& flow = flows_.at(id);
  if (flow.phase != Phase::kOpening) return;
  if (++flow.attempts >= kMaxAttempts) {
    flow.phase = Phase::kDone;
    return;
  }
  SendFirst(id);
}

void Traffic::SendData(std::uint64_t id, bool is_retransmission) {
  Flow& flow = flows_.at(id);
  if (!is_retransmission) flow.sequence += 100;
  Packet packet = flow.first;
  packet.syn = false;
  packet.ack = true;
  packet.sequence = flow.sequence;
  packet.payload_size = 100;
  Send(id, packet);
  Retry(id, kDataRto * (1 << std::min(flow.attempts, 5)), &Traffic::RetryData);
}

void Traffic::RetryData(std::uint64_t id) {
  Flow& flow = flows_.at(id);
  if (flow.phase != Phase::kOpen) return;
  if (++flow.attempts >= kMaxAttempts) {
    // No answer, but no reset either: the path was interrupted.
    flow.is_stalled = true;
    flow.phase = Phase::kDone;
    return;
  }
  SendData(id, true);
}

void Traffic::RetryEnd(std::uint64_t id) {
  Flow& flow = flows_.at(id);
  if (flow.phase != Phase::kClosing) return;
  if (++flow.attempts >= kMaxAttempts) {
    flow.phase = Phase::kDone;
    return;
  }
  SendEnd(id);
}

void Traffic::SendEnd(std::uint64_t id) {
  Flow& flow = flows_.at(id);
  if (flow.phase != Phase::kClosing) flow.attempts = 0;
  flow.phase = Phase::kClosing;
  ++flow.epoch;
  Retry(id, kDataRto * (1 << std::min(flow.attempts, 5)), &Traffic::RetryEnd);
  Packet packet = flow.first;
  packet.syn = false;
  packet.ack = true;
  packet.fin = true;
  packet.sequence = flow.sequence + 100;
  Send(id, packet);
}

void Traffic::NextStreamPacket(std::uint64_t id) {
  Flow& flow = flows_.at(id);
  if (flow.phase != Phase::kOpen) return;
  const bool is_over = (flow.ends != TimePoint{} && now() >= flow.ends) ||
                       (flow.kind == Kind::kShort && flow.packets_left == 0);
  if (is_over) {
    SendEnd(id);
    return;
  }
  --flow.packets_left;
  flow.attempts = 0;
  SendData(id, false);
}

DomainId Traffic::ClientDomain(std::uint64_t id) const {
  const auto& domains = system_->newest().domains;
  return domains[id % domains.size()];
}

void Traffic::OnOpened(std::uint64_t id, TargetId target) {
  Flow& flow = flows_.at(id);
  if (flow.phase != Phase::kOpening) return;
  flow.phase = Phase::kOpen;
  flow.target = target;
  flow.attempts = 0;
  ++flow.epoch;
  if (flow.kind == Kind::kStream) {
    Retry(id, Exponential(options_.stream_interval),
          &Traffic::NextStreamPacket);
  } else if (flow.kind == Kind::kShort) {
    NextStreamPacket(id);
  } else {
    SendData(id, false);
  }
}

void Traffic::OnDataAnswered(std::uint64_t id) {
  Flow& flow = flows_.at(id);
  if (flow.kind == Kind::kDatagram && flow.phase == Phase::kOpening) {
    flow.phase = Phase::kDone;
    flow.is_answered = true;
    return;
  }
  if (flow.phase != Phase::kOpen) return;
  ++flow.epoch;
  flow.is_answered = true;
  if (flow.kind == Kind::kRequest) {
    SendEnd(id);
  } else if (flow.kind == Kind::kShort) {
    NextStreamPacket(id);
  } else {
    Retry(id, Exponential(options_.stream_interval),
          &Traffic::NextStreamPacket);
  }
}

void Traffic::OnClosed(std::uint64_t id) {
  Flow& flow = flows_.at(id);
  if (flow.phase != Phase::kClosing) return;
  flow.phase = Phase::kDone;
  ++flow.epoch;
}

void Traffic::OnReset(std::uint64_t id, TargetId by) {
  Flow& flow = flows_.at(id);
  if (flow.phase == Phase::kOpen && by != flow.target) {
    MarkBroken(flow);
  }
}

void Traffic::MarkBroken(Flow& flow) {
  flow.is_broken = true;
  flow.phase = Phase::kDone;
  ++flow.epoch;
}

void Traffic::OnAnswered(const PacketInFlight& packet, ErrorKind reason,
                         InstanceId /*by*/) {
  After(options_.client_delay, [this, id = packet.id, reason] {
    Flow& flow = flows_.at(id);
    if (AnswerFor(reason).packet_reply == PacketReply::kReset) {
      if (flow.phase != Phase::kOpen) return;
      ++result_.reset_as_silent;
      flow.phase = Phase::kDone;
      ++flow.epoch;
      return;
    }
    // A reset in response to the first packet does not affect an established
    // connection. The sender of a datagram, however, relies on every "not run".
    if (flow.kind == Kind::kDatagram) flow.is_refused = true;
    if (flow.phase != Phase::kOpening) return;
    flow.is_refused = true;
    flow.phase = Phase::kDone;
    ++flow.epoch;
  });
}

void Traffic::OnRedirected(const PacketInFlight& /*packet*/,
                           InstanceId /*from*/, InstanceId /*to*/) {
  ++result_.redirects;
}

void Traffic::OpenStreams(ServiceId service, std::size_t count, Duration over,
                          Duration lifetime) {
  for (std::size_t i = 0; i < count; ++i) {
    const Duration at = over * static_cast<int>(i) / static_cast<int>(count);
    After(at, [this, service, lifetime] {
      const std::uint64_t id = Start(service, Kind::kStream);
      if (lifetime == Duration::zero()) return;
      flows_.at(id).ends = now() + Exponential(lifetime);
    });
  }
}

void Traffic::ScheduleArrivals(ServiceId service, Kind kind, double per_second,
                               int packets, TimePoint until) {
  const auto mean = std::chrono::duration_cast<Duration>(
      std::chrono::duration<double>(1.0 / per_second));
  After(Exponential(mean), [=, this] {
    if (now() >= until) return;
    const std::uint64_t id = Start(service, kind);
    flows_.at(id).packets_left = packets;
    ScheduleArrivals(service, kind, per_second, packets, until);
  });
}

void Traffic::StartRequests(ServiceId service, double per_second,
                            TimePoint until) {
  ScheduleArrivals(service, Kind::kRequest, per_second, 0, until);
}

void Traffic::StartDatagrams(ServiceId service, double per_second,
                             TimePoint until) {
  ScheduleArrivals(service, Kind::kDatagram, per_second, 0, until);
}

void Traffic::StartShortFlows(ServiceId service, double per_second, int packets,
                              TimePoint until) {
  ScheduleArrivals(service, Kind::kShort, per_second, packets, until);
}

void Traffic::StartMeasuring() {
  is_measuring_ = true;
  result_.waits.clear();
  result_.packets = 0;
  result_.redirects = 0;
  busy_sum_ = 0;
  busy_samples_ = 0;
}

}  // namespace sapphirestream::fleet
