// Invariants of every session. They are checked in code, so that regenerating
// the golden records cannot hide a violation.
#ifndef SAPPHIRESTREAM_TEST_SESSION_PROMISES_H_
#define SAPPHIRESTREAM_TEST_SESSION_PROMISES_H_

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "bench/fleet/system.h"

namespace sapphirestream::session {

// A packet sent by the script, and its outcome.
struct SentPacket {
  std::string flow;
  // Flow and kind, such as `board1/syn`.
  std::string label;
  Packet packet;
  // Whether the packet must be delivered or answered: its flow had reached a
  // target and not ended, and no fault can have lost the packet.
  bool must_arrive = false;
  int forwarded = 0;
  int answered = 0;
};

class Promises {
 public:
  // Records a configuration that was accepted from operators.
  void OnAccepted(const Configuration& configuration, TimePoint now);
  // `is_loss_excluded` means that no fault can lose the packet.
  void OnSent(SentPacket& sent, InstanceId via, bool is_loss_excluded,
              TimePoint now);
  void OnForwarded(SentPacket& sent, TargetId target, TimePoint now);
  void OnAnswered(SentPacket& sent, ErrorKind reason);
  // Returns whether the active version of the instance has changed.
  bool OnConfigurations(InstanceId at, const Configuration& active,
                        const Configuration& newest);
  // Checks at the end of a session for lost packets and for silent flows that
  // were not reset.
  void Finish(const std::vector<SentPacket>& sent);

  [[nodiscard]] const std::vector<std::string>& violations() const noexcept {
    return violations_;
  }

 private:
  struct Flow {
    std::set<TargetId> targets;
    bool was_refused = false;
    // Whether the client closed it or an instance reset it.
    bool has_ended = false;
    // For the last payload: the instances that received it, and the repeats at
    // instances that had already received it.
    std::uint32_t sequence = 0;
    std::set<InstanceId> seen_at;
    int repeats = 0;
    TimePoint first_repeat;
    TimePoint last_repeat;
  };
  struct TargetState {
    ServiceId service{};
    bool is_drained = false;
    TimePoint drained_at;
  };
  struct Versions {
    ConfigVersion active{};
    ConfigVersion newest{};
  };

  void Report(const std::string& violation);

  std::map<std::string, Flow> flows_;
  std::map<TargetId, TargetState> targets_;
  std::map<ServiceId, bool> idempotent_;
  std::map<InstanceId, Versions> versions_;
  std::vector<std::string> violations_;
};

}  // namespace sapphirestream::session

#endif  // SAPPHIRESTREAM_TEST_SESSION_PROMISES_H_
