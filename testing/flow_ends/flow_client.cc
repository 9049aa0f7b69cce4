#include "testing/flow_ends/flow_client.h"

#include <algorithm>
#include <array>
#include <utility>

namespace sapphirestream::testing {
namespace {

using namespace std::chrono_literals;

// Timeouts of the first, second and last opening packet.
constexpr std::array<Duration, 3> kOpeningTimeouts{200ms, 400ms, 800ms};
constexpr Duration kInitialRetransmitDelay = 200ms;
constexpr Duration kMaxRetransmitDelay = 1600ms;
// More than a flow sends.
constexpr std::uint32_t kMaxSentBytes = 1U << 20U;
// Resets are accepted within this distance of the last acknowledgement.
constexpr std::uint32_t kResetWindow = 76'800;

}  // namespace

std::string_view Name(FlowOutcome outcome) noexcept {
  constexpr std::array<std::string_view, 5> names{
      "answered", "refused", "unopened", "reset", "timed_out"};
  return names[static_cast<std::size_t>(outcome)];
}

FlowClient::FlowClient(FlowPlan plan, Timer& timer, const Clock& clock,
                       SendBytes send, Done done)
    : plan_(std::move(plan)),
      timer_(timer),
      clock_(clock),
      send_(std::move(send)),
      done_(std::move(done)) {}

FlowClient::~FlowClient() {
  timer_.Cancel(send_timer_);
  timer_.Cancel(request_timer_);
}

void FlowClient::SetTimer(TimerId& slot, Duration delay,
                          void (FlowClient::*handler)()) {
  timer_.Cancel(slot);
  slot = timer_.After(delay, [this, &slot, handler] {
    slot = kNoTimer;
    (this->*handler)();
  });
}

void FlowClient::Start() {
  phase_ = Phase::kOpening;
  request_start_ = clock_.Now();
  SendOpening(0);
}

void FlowClient::SendOpening(std::uint32_t copy) {
  opening_copies_ = copy;
  FlowPacket packet;
  packet.sequence = plan_.first_sequence;
  packet.acknowledged = copy;
  packet.opens = true;
  SetTimer(send_timer_, kOpeningTimeouts.at(copy),
           copy + 1 < kOpeningTimeouts.size() ? &FlowClient::OnOpeningTimer
                                              : &FlowClient::OnOpeningTimeout);
  Send(std::move(packet));
}

void FlowClient::OnOpeningTimer() { SendOpening(opening_copies_ + 1); }

void FlowClient::Send(FlowPacket packet) {
  packet.from = plan_.client;
  packet.to = plan_.service;
  if (!packet.opens) packet.token = token_;
  send_(EncodeFlowPacket(packet));
}

void FlowClient::BeginRequest() {
  request_ = "GET / HTTP/1.1\r\nRequest-Id: " + plan_.id + "-" +
             std::to_string(answered_ + 1) + "\r\n\r\n";
  SetTimer(request_timer_, plan_.request_timeout,
           &FlowClient::OnRequestTimeout);
  SendRequest(kInitialRetransmitDelay);
}

void FlowClient::SendRequest(Duration retransmit_delay) {
  retransmit_delay_ = retransmit_delay;
  FlowPacket packet;
  packet.sequence = sequence_;
  packet.acknowledged = peer_sequence_;
  packet.acknowledges = true;
  packet.payload = request_;
  SetTimer(send_timer_, retransmit_delay, &FlowClient::OnSendTimer);
  Send(std::move(packet));
}

void FlowClient::OnSendTimer() {
  if (request_.empty()) {
    request_start_ = clock_.Now();
    BeginRequest();
  } else {
    SendRequest(std::min(retransmit_delay_ * 2, kMaxRetransmitDelay));
  }
}

void FlowClient::OnPacket(const FlowPacket& packet) {
  if (phase_ == Phase::kFinished || phase_ == Phase::kIdle) return;
  if (packet.resets) {
    if (phase_ == Phase::kOpening) return Finish(FlowOutcome::kRefused);
    const std::uint32_t distance = packet.sequence - peer_sequence_;
    const std::uint32_t behind = peer_sequence_ - packet.sequence;
    if (std::min(distance, behind) <= kResetWindow) Finish(FlowOutcome::kReset);
    return;
  }
  // A target may still repeat the answer to an earlier flow from this port.
  if (packet.acknowledged - plan_.first_sequence > kMaxSentBytes) return;
  token_ = packet.token;
  if (packet.opens && phase_ == Phase::kOpening) {
    phase_ = Phase::kOpen;
    sequence_ = plan_.first_sequence + 1;
    peer_sequence_ = packet.sequence + 1;
    BeginRequest();
    return;
  }
  if (phase_ == Phase::kOpen && !packet.payload.empty()) OnResponse(packet);
}

void FlowClient::OnResponse(const FlowPacket& packet) {
  const bool is_next = packet.sequence == peer_sequence_ && !request_.empty();
  if (is_next) {
    peer_sequence_ += static_cast<std::uint32_t>(packet.payload.size());
    sequence_ += static_cast<std::uint32_t>(request_.size());
    request_.clear();
    last_response_time_ = clock_.Now() - request_start_;
    timer_.Cancel(request_timer_);
    ++answered_;
  }
  FlowPacket acknowledgement;
  acknowledgement.sequence = sequence_;
  acknowledgement.acknowledged = peer_sequence_;
  acknowledgement.acknowledges = true;
  const bool is_last =
      is_next && (answered_ == plan_.requests || packet.finishes);
  acknowledgement.finishes = is_last;
  Send(std::move(acknowledgement));
  if (is_last) {
    Finish(FlowOutcome::kAnswered);
  } else if (is_next) {
    SetTimer(send_timer_, plan_.pause, &FlowClient::OnSendTimer);
  }
}

void FlowClient::Finish(FlowOutcome outcome) {
  phase_ = Phase::kFinished;
  outcome_ = outcome;
  timer_.Cancel(send_timer_);
  timer_.Cancel(request_timer_);
  done_(*this);
}

}  // namespace sapphirestream::testing
