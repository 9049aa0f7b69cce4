// Client end of a single flow: opens the flow, sends requests one after
// another, and reports the outcome.
#ifndef SAPPHIRESTREAM_TESTING_FLOW_ENDS_FLOW_CLIENT_H_
#define SAPPHIRESTREAM_TESTING_FLOW_ENDS_FLOW_CLIENT_H_

#include <cstdint>
#include <functional>
#include <string>
#include <string_view>

#include "sapphirestream/base/clock.h"
#include "sapphirestream/store/timer.h"
#include "testing/flow_ends/flow_packet.h"

namespace sapphirestream::testing {

enum class FlowOutcome : std::uint8_t {
  kAnswered,  // all requests, or all until the target closed the flow
  kRefused,   // reset before it opened
  kUnopened,  // the opening packets were not answered
  kReset,     // reset after it opened
  kTimedOut,  // open, but a request was not answered in time
};

[[nodiscard]] std::string_view Name(FlowOutcome outcome) noexcept;

struct FlowPlan {
  V4Endpoint client;
  V4Endpoint service;
  // Prefix of the request ids; followed by the number of the request.
  std::string id;
  std::uint32_t requests = 1;
  // Sequence number of the opening packet.
  std::uint32_t first_sequence = 100;
  // Pause between a response and the next request.
  Duration pause{};
  // Time limit for the response to a request.
  Duration request_timeout = std::chrono::seconds(4);
};

class FlowClient {
 public:
  using Done = std::function<void(const FlowClient&)>;

  // The references must outlive the client. The client must not be destroyed
  // within the call of `done`.
  FlowClient(FlowPlan plan, Timer& timer, const Clock& clock, SendBytes send,
             Done done);
  ~FlowClient();
  FlowClient(const FlowClient&) = delete;
  FlowClient& operator=(const FlowClient&) = delete;

  void Start();
  void OnPacket(const FlowPacket& packet);

  [[nodiscard]] const FlowPlan& plan() const noexcept { return plan_; }
  [[nodiscard]] FlowOutcome outcome() const noexcept { return outcome_; }
  [[nodiscard]] bool is_finished() const noexcept {
    return phase_ == Phase::kFinished;
  }
  [[nodiscard]] bool is_open() const noexcept { return phase_ == Phase::kOpen; }
  [[nodiscard]] std::uint32_t answered() const noexcept { return answered_; }
  // Time from the first opening packet, or the first transmission of the
  // request, to the response.
  [[nodiscard]] Duration last_response_time() const noexcept {
    return last_response_time_;
  }

 private:
  enum class Phase : std::uint8_t { kIdle, kOpening, kOpen, kFinished };

  void SendOpening(std::uint32_t copy);
  void SendRequest(Duration retransmit_delay);
  void BeginRequest();
  void OnResponse(const FlowPacket& packet);
  void Send(FlowPacket packet);
  void Finish(FlowOutcome outcome);
  // Replaces the timer in `slot`.
  void SetTimer(TimerId& slot, Duration delay, void (FlowClient::*handler)());
  void OnRequestTimeout() { Finish(FlowOutcome::kTimedOut); }
  void OnOpeningTimeout() { Finish(FlowOutcome::kUnopened); }
  void OnOpeningTimer();
  void OnSendTimer();

  FlowPlan plan_;
  Timer& timer_;
  const Clock& clock_;
  SendBytes send_;
  Done done_;
  Phase phase_ = Phase::kIdle;
  FlowOutcome outcome_ = FlowOutcome::kUnopened;
  FlowToken token_{};
  // Sequence numbers of the next byte to send and to receive.
  std::uint32_t sequence_ = 0;
  std::uint32_t peer_sequence_ = 0;
  std::uint32_t opening_copies_ = 0;
  std::uint32_t answered_ = 0;
  Duration retransmit_delay_{};
  TimePoint request_start_{};
  Duration last_response_time_{};
  std::string request_;
  TimerId send_timer_ = kNoTimer;
  TimerId request_timer_ = kNoTimer;
};

}  // namespace sapphirestream::testing

#endif  // SAPPHIRESTREAM_TESTING_FLOW_ENDS_FLOW_CLIENT_H_
