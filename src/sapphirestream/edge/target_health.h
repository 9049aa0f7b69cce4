// Reachability of a target, derived from the flows and probes of this instance.
// Service discovery detects a failed target only after several missed
// heartbeats, while clients wait for half a second, so failures are detected
// from the flows themselves.
#ifndef SAPPHIRESTREAM_EDGE_TARGET_HEALTH_H_
#define SAPPHIRESTREAM_EDGE_TARGET_HEALTH_H_

#include <cstdint>
#include <optional>
#include <string_view>

#include "sapphirestream/base/clock.h"

namespace sapphirestream {

enum class Reachability : std::uint8_t {
  kReachable,
  // A probe is in progress.
  kSuspect,
  // Accepts connections but does not answer opening packets.
  kUnresponsive,
  // Refuses connections, or did not answer several simultaneous attempts.
  kUnreachable,
};

[[nodiscard]] std::string_view Name(Reachability state) noexcept;

enum class ProbeKind : std::uint8_t {
  // Several simultaneous connection attempts, closed immediately: cheap, and
  // sufficient to detect that nothing is listening.
  kConnection,
  // A health check whose response identifies the target: the address may have
  // been reassigned to another target.
  kIdentity,
};

enum class ProbeOutcome : std::uint8_t {
  kAccepted,  // a connection was accepted, or the target identified itself
  kRefused,   // no connection was accepted and at least one was refused
  kSilent,    // all connection attempts timed out
  kStranger,  // another target responded at this address
  // Local error, or a control target did not answer either; says nothing about
  // the target.
  kFailed,
};

[[nodiscard]] std::string_view Name(ProbeOutcome outcome) noexcept;

class TargetHealth {
 public:
  // Unanswered openings that make a target suspicious even though it accepts
  // connections; a single one may be due to packet loss.
  static constexpr std::uint32_t kUnansweredLimit = 2;
  // Time for which an unresponsive target gets no new flows.
  static constexpr Duration kUnresponsiveBackoff =
      std::chrono::milliseconds(1500);
  // Minimum time between two probes of a reachable target, so that flows that
  // move to other instances do not each trigger a probe.
  static constexpr Duration kMinProbeInterval = std::chrono::milliseconds(100);
  // Time between two probes of an unreachable target.
  static constexpr Duration kRecheckInterval = std::chrono::milliseconds(400);
  // Flows are not reset on the outcome of a probe that began longer ago.
  static constexpr Duration kMaxProbeAge = std::chrono::seconds(1);

  TargetHealth() = default;
  // Nothing is known about the target before `valid_from`, when it registered:
  // earlier probes were answered by a former process, or at another address.
  explicit TargetHealth(TimePoint valid_from) noexcept
      : valid_from_(valid_from) {}

  // A flow of this target made progress.
  void OnFlowProgress(TimePoint now) noexcept;
  // An opening packet was not answered in time, or a client retransmitted a
  // packet. Returns the probe to start now, if any.
  [[nodiscard]] std::optional<ProbeKind> OnUnanswered(
      TimePoint unanswered_since, bool opening, TimePoint now) noexcept;
  // Whether a probe that began then says something about the target.
  [[nodiscard]] bool IsValid(TimePoint begun) const noexcept {
    return begun >= valid_from_;
  }
  // Returns whether the outcome made the target unreachable. Precondition: the
  // probe is valid.
  bool OnProbe(ProbeOutcome outcome, TimePoint begun, TimePoint now) noexcept;
  // Returns true, and marks a probe as started, if an unreachable target is due
  // for another probe.
  [[nodiscard]] bool StartRecheckIfDue(TimePoint now) noexcept;
  // Returns true, and marks a probe as started, if the target can be probed now
  // because of a packet for it: the target is no longer listed, or unreachable.
  [[nodiscard]] bool StartIdentityProbeIfDue(TimePoint now) noexcept;
  // Whether the target is unreachable according to a recent probe that began
  // after `since`. An older probe says nothing about a request of that time.
  [[nodiscard]] bool IsLostSince(TimePoint since, TimePoint now) const noexcept;

  [[nodiscard]] Reachability state() const noexcept { return state_; }
  // Whether the target may get new flows.
  [[nodiscard]] bool AcceptsNewFlows(TimePoint now) const noexcept;
  // Consecutive failed probes.
  [[nodiscard]] std::uint32_t failed_probes() const noexcept {
    return failed_probes_;
  }
  [[nodiscard]] TimePoint last_progress() const noexcept {
    return last_progress_;
  }
  // Start of the last probe that failed; unset before the first one.
  [[nodiscard]] TimePoint last_failure() const noexcept {
    return last_failure_;
  }

 private:
  TimePoint valid_from_{};
  Reachability state_ = Reachability::kReachable;
  bool probing_ = false;
  // Kind of the last probe, and whether its outcome was kAccepted.
  ProbeKind last_kind_ = ProbeKind::kConnection;
  bool last_probe_accepted_ = false;
  std::uint32_t failed_probes_ = 0;
  // Unanswered openings since the last progress of a flow.
  std::uint32_t unanswered_ = 0;
  TimePoint last_progress_{};
  // End of the last probe.
  TimePoint last_probe_{};
  // Start of the last failed probe.
  TimePoint last_failure_{};
  TimePoint unresponsive_until_{};
};

}  // namespace sapphirestream

#endif  // SAPPHIRESTREAM_EDGE_TARGET_HEALTH_H_
