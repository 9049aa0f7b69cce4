// State machine of a client flow.
#include "testing/standins/client_flow.h"

#include <algorithm>

namespace sapphirestream::standins {

std::string_view Name(FlowOutcome outcome) noexcept {
  constexpr std::string_view names[] = {"open",  "answered", "refused",
                                        "reset", "moved",    "silent"};
  return names[static_cast<std::size_t>(outcome)];
}

ClientFlow::ClientFlow(const FlowProfile& profile, const Endpoint& client,
                       std::uint64_t number, TimePoint now)
    : profile_(&profile),
      client_(client),
      number_(number),
      sequence_(static_cast<std::uint32_t>(number * 7919 + 1)),
      opened_(now),
      due_(now),
      first_sent_at_(now) {
  // A UDP flow has no handshake and starts with its first part.
  if (profile.protocol == Protocol::kUdp) StartPart(now);
}

void ClientFlow::StartPart(TimePoint now) {
  ++part_;
  step_ = Step::kSending;
  sent_ = false;
  due_ = now;
  retransmit_delay_ = kInitialRetransmitDelay;
}

std::optional<Segment> ClientFlow::Poll(TimePoint now) {
  if (finished() || now < due_) return std::nullopt;
  if (step_ == Step::kClosing && fins_sent_++ == kMaxFins) {
    closed_ = true;
    return std::nullopt;
  }
  if (step_ == Step::kWaiting) StartPart(now);
  if (!sent_) {
    sent_ = true;
    first_sent_at_ = now;
  } else if (now - first_sent_at_ >= kAnswerTimeout) {
    outcome_ = FlowOutcome::kSilent;
    return std::nullopt;
  } else {
    ++retransmissions_;
  }
  due_ = now + retransmit_delay_;
  retransmit_delay_ = std::min(retransmit_delay_ * 2, kMaxRetransmitDelay);
  return Build();
}

Segment ClientFlow::Build() const {
  Segment segment{.protocol = profile_->protocol,
                  .source = client_,
                  .destination = profile_->server,
                  .sequence = sequence_,
                  .acknowledged = acknowledged_};
  if (step_ == Step::kOpening) {
    segment.syn = true;
    return segment;
  }
  segment.ack = true;
  if (step_ == Step::kClosing) {
    segment.fin = true;
    return segment;
  }
  segment.payload = BuildMessage(
      {profile_->is_order ? MessageKind::kOrder : MessageKind::kPart,
       profile_->is_order ? number_ : part_},
      profile_->part_bytes);
  return segment;
}

void ClientFlow::OnSegment(const Segment& segment, const Endpoint& from,
                           bool from_instance, TimePoint now) {
  if (outcome_ == FlowOutcome::kAnswered && segment.fin) closed_ = true;
  if (outcome_ != FlowOutcome::kOpen) return;
  ended_by_ = from;
  const bool is_reset = segment.rst || segment.unreachable;
  if (from_instance) {
    // Instances send no other answers than refusals and resets.
    if (!is_reset) return;
    outcome_ = target_ ? FlowOutcome::kReset : FlowOutcome::kRefused;
    return;
  }
  if (is_reset) {
    outcome_ = FlowOutcome::kReset;
    return;
  }
  if (target_ && *target_ != from) {
    outcome_ = FlowOutcome::kMoved;
    return;
  }
  target_ = from;
  if (segment.syn && step_ == Step::kOpening) {
    ++sequence_;
    acknowledged_ = segment.sequence + 1;
    StartPart(now);
    return;
  }
  const auto message = ParseMessage(segment.payload);
  if (message && message->kind == MessageKind::kAnswer) {
    OnAnswer(*message, now);
  }
}

void ClientFlow::OnAnswer(const Message& message, TimePoint now) {
  if (step_ != Step::kSending) return;
  if (profile_->is_order) {
    if (message.number != number_) return;
    sequence_ += static_cast<std::uint32_t>(profile_->part_bytes);
    outcome_ = FlowOutcome::kAnswered;
    step_ = Step::kClosing;
    sent_ = false;
    due_ = now;
    retransmit_delay_ = kInitialRetransmitDelay;
    return;
  }
  if (message.number != part_) return;
  sequence_ += static_cast<std::uint32_t>(profile_->part_bytes);
  step_ = Step::kWaiting;
  due_ = now + profile_->interval;
}

}  // namespace sapphirestream::standins
