#include "testing/flow_ends/flow_target.h"

#include <algorithm>

#include "platform/packet_codec.h"
#include "sapphirestream/base/id.h"

namespace sapphirestream::testing {
namespace {

using namespace std::chrono_literals;

constexpr Duration kInitialRetransmitDelay = 200ms;
constexpr Duration kMaxRetransmitDelay = 1600ms;
constexpr std::uint32_t kMaxRetransmits = 8;
constexpr std::string_view kResponse =
    "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n";

std::string RequestIdOf(const std::string& payload) {
  constexpr std::string_view name = "Request-Id: ";
  const std::size_t begin = payload.find(name);
  if (begin == std::string::npos) return {};
  const std::size_t start = begin + name.size();
  return payload.substr(start, payload.find('\r', start) - start);
}

}  // namespace

FlowTarget::FlowTarget(const FlowTargetOptions& options, Timer& timer,
                       SendBytes send, Observer& observer)
    : options_(options),
      timer_(timer),
      send_(std::move(send)),
      observer_(observer),
      next_opening_(static_cast<std::uint32_t>(Value(options.key)) << 8U) {}

FlowTarget::~FlowTarget() {
  for (auto& [client, flow] : flows_) timer_.Cancel(flow.retransmit_timer);
  for (auto& [client, timer] : service_timers_) timer_.Cancel(timer);
}

void FlowTarget::OnDatagram(std::span<const std::byte> datagram) {
  if (datagram.size() < platform::kTargetPrefixSize) return;
  const auto prefix = datagram.first(platform::kTargetPrefixSize);
  const auto own_prefix = platform::EncodeTargetPrefix(options_.key);
  if (!std::equal(prefix.begin(), prefix.end(), own_prefix.begin())) return;
  const auto packet =
      DecodeFlowPacket(datagram.subspan(platform::kTargetPrefixSize));
  if (!packet) return;
  if (packet->opens) {
    OnOpening(*packet);
  } else {
    OnFlowPacket(*packet);
  }
}

void FlowTarget::OnOpening(const FlowPacket& packet) {
  const std::uint64_t client = Value(packet.from);
  // The client has started another flow from the same port.
  if (const auto held = flows_.find(client);
      held != flows_.end() && held->second.first_sequence != packet.sequence) {
    Close(client);
  }
  auto [it, is_new] = flows_.try_emplace(client);
  Flow& flow = it->second;
  if (is_new) {
    flow.client = packet.from;
    flow.service = packet.to;
    flow.opening = next_opening_;
    next_opening_ += 1U << 16U;
    flow.first_sequence = packet.sequence;
    flow.expected = packet.sequence + 1;
    flow.sequence = flow.opening + 1;
  }
  observer_.OnOpeningPacket(options_.key, packet, is_new);
  flow.token = packet.token;
  if (flow.is_open) return;
  FlowPacket answer;
  answer.sequence = flow.opening;
  answer.acknowledged = flow.expected;
  answer.opens = true;
  answer.acknowledges = true;
  Send(flow, std::move(answer));
}

void FlowTarget::OnFlowPacket(const FlowPacket& packet) {
  const std::uint64_t client = Value(packet.from);
  const auto it = flows_.find(client);
  // The flow may have been opened by another target.
  const bool is_foreign = it != flows_.end() && !it->second.is_open &&
                          packet.acknowledged != it->second.sequence;
  if (it == flows_.end() || is_foreign) {
    observer_.OnUnknownFlow(options_.key, packet);
    if (!packet.finishes && !packet.resets) ResetUnknownFlow(packet);
    return;
  }
  Flow& flow = it->second;
  flow.token = packet.token;
  if (!flow.is_open) {
    flow.is_open = true;
    observer_.OnOpened(options_.key, packet.from);
  }
  const auto response_end =
      flow.sequence + static_cast<std::uint32_t>(flow.response.size());
  if (!flow.response.empty() && packet.acknowledged == response_end) {
    flow.sequence = response_end;
    flow.response.clear();
    timer_.Cancel(flow.retransmit_timer);
  }
  if (packet.finishes || packet.resets) {
    Close(client);
    return;
  }
  if (!packet.payload.empty()) OnData(flow, packet);
}

void FlowTarget::OnData(Flow& flow, const FlowPacket& packet) {
  if (packet.sequence == flow.expected) {
    flow.expected += static_cast<std::uint32_t>(packet.payload.size());
    waiting_.emplace_back(Value(flow.client), RequestIdOf(packet.payload));
    StartNextRequest();
    return;
  }
  if (!flow.response.empty()) SendResponse(flow);
}

void FlowTarget::StartNextRequest() {
  while (!waiting_.empty() && running_ < options_.slots) {
    const auto [client, request] = waiting_.front();
    waiting_.pop_front();
    ++running_;
    observer_.OnRun(options_.key, request);
    service_timers_[client] =
        timer_.After(options_.service_time,
                     [this, client = client] { OnRequestDone(client); });
  }
}

void FlowTarget::OnRequestDone(std::uint64_t client) {
  service_timers_.erase(client);
  --running_;
  if (const auto it = flows_.find(client); it != flows_.end()) {
    it->second.response = kResponse;
    it->second.closes = draining_;
    it->second.retransmits = 0;
    SendResponse(it->second);
  }
  StartNextRequest();
}

void FlowTarget::SendResponse(Flow& flow) {
  FlowPacket packet;
  packet.sequence = flow.sequence;
  packet.acknowledged = flow.expected;
  packet.acknowledges = true;
  packet.finishes = flow.closes;
  packet.payload = flow.response;
  Send(flow, std::move(packet));
  if (flow.retransmits == kMaxRetransmits) return;
  const Duration wait = std::min<Duration>(
      kInitialRetransmitDelay * (1U << flow.retransmits), kMaxRetransmitDelay);
  ++flow.retransmits;
  timer_.Cancel(flow.retransmit_timer);
  flow.retransmit_timer =
      timer_.After(wait, [this, client = Value(flow.client)] {
        const auto it = flows_.find(client);
        if (it != flows_.end() && !it->second.response.empty()) {
          SendResponse(it->second);
        }
      });
}

void FlowTarget::Send(const Flow& flow, FlowPacket packet) {
  packet.from = flow.service;
  packet.to = flow.client;
  packet.token = flow.token;
  send_(EncodeFlowPacket(packet));
}

void FlowTarget::ResetUnknownFlow(const FlowPacket& packet) {
  FlowPacket reset;
  reset.from = packet.to;
  reset.to = packet.from;
  reset.sequence = packet.acknowledged;
  reset.resets = true;
  send_(EncodeFlowPacket(reset));
}

void FlowTarget::Close(std::uint64_t client) {
  const auto it = flows_.find(client);
  if (it == flows_.end()) return;
  timer_.Cancel(it->second.retransmit_timer);
  flows_.erase(it);
}

}  // namespace sapphirestream::testing
