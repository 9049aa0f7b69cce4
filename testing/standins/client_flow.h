// The client's side of one connection, without sockets: it opens, sends parts
// one at a time, repeats what is not answered, and notices how the flow ends.
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

// What a connection is used for.
struct FlowProfile {
  std::string_view name;
  ServiceId service{};
  Endpoint server{};
  Protocol protocol = Protocol::kTcp;
  // Whether it carries one order and ends; otherwise it stays open.
  bool is_order = false;
  // Time between the answer to a part and the next part.
  Duration interval{};
  std::size_t part_bytes = kMessageBytes;
};

enum class FlowOutcome : std::uint8_t {
  kOpen,
  kAnswered,  // the order was answered
  kRefused,   // an instance said "not run" before any target answered
  kReset,     // ended by a reset after a target answered
  kMoved,     // a second target answered
  kSilent,    // no answer for kSilenceLimit
};

[[nodiscard]] std::string_view Name(FlowOutcome outcome) noexcept;

class ClientFlow {
 public:
  // A real client gives up in this order of time.
  static constexpr Duration kSilenceLimit = std::chrono::seconds(20);
  static constexpr Duration kFirstRepeat = std::chrono::milliseconds(200);
  static constexpr Duration kLastRepeat = std::chrono::seconds(2);
  // Times that the end of a flow is sent at most.
  static constexpr int kMaxEnds = 5;

  // `number` is the order's id, for an order.
  ClientFlow(const FlowProfile& profile, const Endpoint& client,
             std::uint64_t number, TimePoint now);

  // Takes a packet that came from a target or, if `from_instance`, from an
  // instance.
  void OnSegment(const Segment& segment, const Endpoint& from,
                 bool from_instance, TimePoint now);
  // Returns the packet to send now, if one is due.
  [[nodiscard]] std::optional<Segment> Poll(TimePoint now);
  // When Poll is due next.
  [[nodiscard]] TimePoint due() const noexcept { return due_; }
  // Whether nothing is left to send.
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
  // Where the packet that ended the flow came from.
  [[nodiscard]] const Endpoint& ended_by() const noexcept { return ended_by_; }
  // Whether a target has answered.
  [[nodiscard]] bool established() const noexcept {
    return target_.has_value();
  }
  [[nodiscard]] const FlowProfile& profile() const noexcept {
    return *profile_;
  }
  [[nodiscard]] std::uint64_t number() const noexcept { return number_; }
  [[nodiscard]] std::uint64_t repeats() const noexcept { return repeats_; }
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
  // When the packet in flight was first sent.
  TimePoint waiting_since_;
  Duration repeat_after_ = kFirstRepeat;
  bool sent_ = false;
  // Whether the target acknowledged the end of the flow or the client gave up
  // waiting for that.
  bool closed_ = false;
  std::uint64_t repeats_ = 0;
  int ends_ = 0;
};

}  // namespace sapphirestream::standins

#endif  // SAPPHIRESTREAM_TESTING_STANDINS_CLIENT_FLOW_H_
