// The promises that hold in every session, checked in code so that a wrong
// record cannot be regenerated unnoticed.
#ifndef SAPPHIRESTREAM_TEST_SESSION_PROMISES_H_
#define SAPPHIRESTREAM_TEST_SESSION_PROMISES_H_

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "bench/fleet/system.h"

namespace sapphirestream::session {

// A packet that the script sent, and what became of it.
struct SentPacket {
  std::string flow;
  // Flow and kind, as in `board1/syn`.
  std::string label;
  Packet packet;
  // The flow had reached a target before and had not ended, and no fault may
  // have lost the packet.
  bool must_arrive = false;
  int forwarded = 0;
  int answered = 0;
};

class Promises {
 public:
  // Takes note of a configuration that operators had accepted.
  void OnAccepted(const Configuration& configuration, TimePoint now);
  // `is_carried` tells that no fault may lose the packet.
  void OnSent(SentPacket& sent, InstanceId via, bool is_carried, TimePoint now);
  void OnForwarded(SentPacket& sent, TargetId target, TimePoint now);
  void OnAnswered(SentPacket& sent, ErrorKind reason);
  // Returns whether the instance has another active version than before.
  bool OnConfigurations(InstanceId at, const Configuration& active,
                        const Configuration& newest);
  // Checks at the end that nothing is missing.
  void Finish(const std::vector<SentPacket>& sent);

  [[nodiscard]] const std::vector<std::string>& violations() const noexcept {
    return violations_;
  }

 private:
  struct Flow {
    std::set<TargetId> targets;
    bool was_refused = false;
    // Closed by the client or reset by an instance.
    bool has_ended = false;
    // Of the last payload: the instances that got it, and the copies that
    // reached one of them again.
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
