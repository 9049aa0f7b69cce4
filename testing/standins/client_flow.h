// The client side of one connection, without sockets: opens it, sends parts one
// at a time, retransmits unanswered packets, and records how the flow ends.
#ifndef SAPPHIRESTREAM_TESTING_STANDINS_CLIENT_FLOW_H_
#define SAPPHIRESTREAM_TESTING_STANDINS_CLIENT_FLOW_H_

#include <cstdint>
#include <optional>
#include <string_view>

#include "sapphirestream/base/clock.h"
#include "sapphirestream/base/endpoint.h"
#include "sapphirestream/base/id.h"
#include "testing/standins/segment.h"

namespace sapphirestream::standins {

// Kind of traffic on a connection.
struct FlowProfile {
  std::string_view name;
  ServiceId service{};
  Endpoint server{};
  Protocol protocol = Protocol::kTcp;
  // Whether the flow carries one order and then closes. Otherwise it stays
  // open.
  bool is_order = false;
  // Delay between the answer to a part and the next part.
  Duration interval{};
  std::size_t part_bytes = kMinMessageSize;
};

enum class FlowOutcome : std::uint8_t {
  kOpen,
  kAnswered,  // the order was answered
  kRefused,   // an instance answered "not run" before any target answered
  kReset,     // reset by a target, or by an instance after a target answered
  kMoved,     // a second target answered
  kSilent,    // no answer within kAnswerTimeout
};

[[nodiscard]] std::string_view Name(FlowOutcome outcome) noexcept;

class ClientFlow {
 public:
  // Comparable to the time-out of real clients.
  static constexpr Duration kAnswerTimeout = std::chrono::seconds(20);
  static constexpr Duration kInitialRetransmitDelay =
      std::chrono::milliseconds(200);
  static constexpr Duration kMaxRetransmitDelay = std::chrono::seconds(2);
  // Maximum number of times that the FIN of a flow is sent.
  static constexpr int kMaxFins = 5;

  // For an order, `number` is its id.
  ClientFlow(const FlowProfile& profile, const Endpoint& client,
             std::uint64_t number, TimePoint now);

  // Handles a packet from a target or, if `from_instance` is set, from an
  // instance.
  void OnSegment(const Segment& segment, const Endpoint& from,
                 bool from_instance, TimePoint now);
  // Returns the packet to send now, if one is due.
  [[nodiscard]] std::optional<Segment> Poll(TimePoint now);
  // Time of the next Poll.
  [[nodiscard]] TimePoint due() const noexcept { return due_; }
  // Whether the flow has nothing left to send.
  [[nodiscard]] bool finished() const noexcept {
    return outcome_ != FlowOutcome::kOpen &&
           (outcome_ != FlowOutcome::kAnswered || closed_);
  }
  [[nodiscard]] FlowOutcome outcome() const noexcept { return outcome_; }
  // The target that answered first.
  [[nodiscard]] const std::optional<Endpoint>& target() const noexcept {
    return target_;
  }
  [[nodiscard]] const Endpoint& client() const noexcept { return client_; }
  // Source of the packet that ended the flow.
  [[nodiscard]] const Endpoint& ended_by() const noexcept { return ended_by_; }
  // Whether a target has answered.
  [[nodiscard]] bool established() const noexcept {
    return target_.has_value();
  }
  [[nodiscard]] const FlowProfile& profile() const noexcept {
    return *profile_;
  }
  [[nodiscard]] std::uint64_t number() const noexcept { return number_; }
  [[nodiscard]] std::uint64_t retransmissions() const noexcept {
    return retransmissions_;
  }
  [[nodiscard]] TimePoint opened() const noexcept { return opened_; }

 private:
  enum class Step : std::uint8_t { kOpening, kWaiting, kSending, kClosing };

  void OnAnswer(const Message& message, TimePoint now);
  void StartPart(TimePoint now);
  [[nodiscard]] Segment Build() const;

  const FlowProfile* profile_;
  Endpoint client_;
  std::uint64_t number_;
  std::uint64_t part_ = 0;
  Step step_ = Step::kOpening;
  FlowOutcome outcome_ = FlowOutcome::kOpen;
  std::optional<Endpoint> target_;
  Endpoint ended_by_;
  // Sequence number of the part in flight.
  std::uint32_t sequence_;
  std::uint32_t acknowledged_ = 0;
  TimePoint opened_;
  TimePoint due_;
  // Time at which the packet in flight was first sent.
  TimePoint first_sent_at_;
  Duration retransmit_delay_ = kInitialRetransmitDelay;
  bool sent_ = false;
  // Whether the target has acknowledged the FIN, or the client has given up
  // waiting for that.
  bool closed_ = false;
  std::uint64_t retransmissions_ = 0;
  int fins_sent_ = 0;
};

}  // namespace sapphirestream::standins

#endif  // SAPPHIRESTREAM_TESTING_STANDINS_CLIENT_FLOW_H_
