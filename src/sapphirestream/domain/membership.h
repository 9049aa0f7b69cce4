// Membership of the instances: heartbeats, suspicion, probes, death and return.
// The rules are in docs/design.md, section 5; the lifecycle is in
// docs/lifecycles.md.
#ifndef SAPPHIRESTREAM_DOMAIN_MEMBERSHIP_H_
#define SAPPHIRESTREAM_DOMAIN_MEMBERSHIP_H_

#include <cstdint>
#include <deque>
#include <map>
#include <span>
#include <vector>

#include "sapphirestream/base/clock.h"
#include "sapphirestream/base/id.h"
#include "sapphirestream/base/random.h"
#include "sapphirestream/domain/decision_authority.h"
#include "sapphirestream/domain/heartbeat_plan.h"
#include "sapphirestream/domain/member_table.h"
#include "sapphirestream/domain/member_view.h"
#include "sapphirestream/domain/message.h"
#include "sapphirestream/domain/message_sink.h"

namespace sapphirestream {

// An entry of the platform's list of instances. The platform's leaving flag is
// not used: only the instance itself can give up its authority.
struct InstanceListing {
  InstanceId id = kNoInstance;
  DomainId domain{};
};

class Membership {
 public:
  struct Options {
    InstanceId self = kNoInstance;
    DomainId domain{};
    // Must be higher than in any earlier run, for example the wall clock at the
    // start in milliseconds.
    Incarnation incarnation{};
    // Whether the instance may become alive; see SetReady().
    bool ready = true;
  };

  Membership(const Options& options, DomainSink& sink, Random& random,
             TimePoint now);

  // Handles the platform's list, which lags and may contain dead instances.
  void OnInstanceList(std::span<const InstanceListing> list, TimePoint now);
  // Handles heartbeats, probes, probe answers and leaves; ignores the rest.
  void OnMessage(InstanceId from, const DomainMessage& message, TimePoint now);
  // Runs timeouts and sends due heartbeats; call at least every 100 ms.
  void OnTimer(TimePoint now);
  // Sets the versions that heartbeats carry.
  void SetConfigVersions(ConfigVersion prepared, ConfigVersion active);
  // An instance that is not ready (it has no configuration) stays joining.
  void SetReady(bool ready) noexcept { is_ready_ = ready; }
  // Sets the rank keys of the services; used only in domains larger than
  // kFullMeshLimit.
  void SetRankKeys(std::vector<std::uint64_t> keys);
  // Gives up the authority and notifies the neighbours.
  void BeginLeave(TimePoint now);

  // Whether a later run of this instance was detected. That run has permanently
  // replaced this one; the process sends nothing any more and should exit.
  [[nodiscard]] bool is_superseded() const noexcept { return is_superseded_; }

  // The view includes this instance.
  [[nodiscard]] const MemberView& view() const noexcept { return view_; }
  // Incremented with every change of the view.
  [[nodiscard]] std::uint64_t revision() const noexcept { return revision_; }
  [[nodiscard]] MemberState state() const noexcept { return state_; }
  [[nodiscard]] Incarnation incarnation() const noexcept {
    return incarnation_;
  }
  // Until when this instance may decide flows of the service with this
  // rank key; DecisionAuthority::kNone if it may not.
  [[nodiscard]] TimePoint AuthorityUntil(std::uint64_t key) const;
  // The earliest of these times over all keys of SetRankKeys() for which this
  // instance ranks first.
  [[nodiscard]] TimePoint AuthorityUntil() const;

 private:
  struct PendingProbe {
    InstanceId origin;
    std::uint64_t origin_nonce;
    std::uint64_t nonce;
    TimePoint at;
  };

  // Receiving (membership_receive.cc).
  void OnHeartbeat(InstanceId from, const Heartbeat& message, TimePoint now);
  void OnProbe(InstanceId from, const Probe& message, TimePoint now);
  void OnProbeAck(InstanceId from, const ProbeAck& message, TimePoint now);
  void OnLeave(InstanceId from, const Leave& message, TimePoint now);
  void OnDomainHeard(DomainId domain, TimePoint now);
  // Merges the state of a member as reported by a member of `from_domain`.
  void Merge(DomainId from_domain, const Member& update, TimePoint now);
  // Records whether a neighbour considers the member dead.
  void RecordReportedState(InstanceId from, const Member& update);
  void MergeOwn(const Member& update, TimePoint now);
  void MergeUnknown(const Member& update, TimePoint now);
  void MergeDead(DomainId from_domain, const Member& update,
                 MemberRecord& record, TimePoint now);

  // Sending (membership_send.cc).
  void SendHeartbeat(InstanceId to, TimePoint now);
  // Sends a heartbeat that reports `subject` as dead or left, so that the
  // member can refute it.
  void SendDeathReport(InstanceId to, const Member& subject, TimePoint now);
  [[nodiscard]] Heartbeat MakeHeartbeat(InstanceId to,
                                        const MemberRecord* record,
                                        TimePoint now) const;
  [[nodiscard]] Member Describe(InstanceId id,
                                const MemberRecord& record) const;
  void AddMemberUpdates(InstanceId to, const MemberRecord* record,
                        TimePoint now, std::vector<Member>& out);
  void SendRound(TimePoint now);
  void SendToDomain(DomainId domain, TimePoint now);
  void SendProbe(InstanceId to, InstanceId subject, TimePoint now);

  // Timers (membership.cc).
  void OnPause(Duration gap, TimePoint now);
  void BeginJoining(TimePoint now, Duration min_joining_time);
  // Joins again with a higher incarnation and probes all dead members again.
  void Rejoin(TimePoint now);
  void CheckIsolation(TimePoint now);
  void UpdateFences(TimePoint now);
  void TryFinishJoining(TimePoint now);
  // Sends heartbeats to the live members of other domains that have not echoed
  // this incarnation. Returns whether all of them echoed it so long ago that no
  // echo of an earlier process with this id extends that process's authority.
  [[nodiscard]] bool ContactOtherDomains(TimePoint now);
  void CheckOwnDomain(TimePoint now);
  void CheckSilence(InstanceId id, MemberRecord& record, TimePoint now);
  void CheckOtherDomains(TimePoint now);
  void RemoveExpired(TimePoint now);
  void Refresh(TimePoint now);
  // Whether the other members echo recent heartbeats of this instance, so that
  // none of them has taken over its keys. In a large domain, a member that
  // ranks first for no key needs no echoes.
  [[nodiscard]] bool HasCurrentEchoes(TimePoint now);
  // Returns until when contact with other domains proves that this instance is
  // not isolated, if all its neighbours are dead; unlimited otherwise.
  [[nodiscard]] TimePoint ExternalContactUntil() const;
  [[nodiscard]] bool IsDeathConfirmed(MemberRecord& record, TimePoint now);
  [[nodiscard]] std::vector<InstanceId> PresentNeighbours() const;
  [[nodiscard]] bool IsLarge() const noexcept { return is_large_; }

  const InstanceId self_;
  const DomainId domain_;
  DomainSink& sink_;
  Random& random_;
  Incarnation incarnation_;
  MemberState state_ = MemberState::kJoining;
  bool is_ready_;
  bool is_superseded_ = false;
  // Whether a higher incarnation reported for this id can only be that of an
  // earlier run, since the process was never alive or paused so far.
  bool may_raise_incarnation_ = true;
  TimePoint joining_since_;
  Duration min_joining_time_{};
  ConfigVersion prepared_{};
  ConfigVersion active_{};
  std::vector<std::uint64_t> keys_;

  MemberTable table_;
  MemberView view_;
  // Revision of the table that view_ and plan_ were made from.
  std::uint64_t view_table_revision_ = 0;
  std::uint64_t revision_ = 0;
  bool is_view_stale_ = true;
  // Members of the own domain that are not eligible and have to echo all the
  // same: those from which a joining heartbeat was received, and those replaced
  // while still running, until the echoes of the old process expire.
  std::vector<InstanceId> ineligible_peers_;
  // Members of the own domain that must not be taken over from yet: those
  // replaced while still running, until the echoes of the old process expire,
  // and dead members whose death the other members have not confirmed.
  std::vector<InstanceId> fenced_;
  // Whether all neighbours are dead and no other domain answers.
  bool is_isolated_ = false;
  // Whether the domain has more than kFullMeshLimit members.
  bool is_large_ = false;
  HeartbeatPlan plan_;
  DecisionAuthority authority_;

  // When the last message of each domain arrived.
  std::map<DomainId, TimePoint> domain_heard_;
  std::map<DomainId, TimePoint> domain_next_;
  // When the latest heartbeat echoed by another domain was sent.
  TimePoint external_echo_sent_at_;
  // Last time at which some live member of another domain had not echoed this
  // incarnation.
  TimePoint external_echo_missing_at_;
  TimePoint next_external_contact_;
  TimePoint next_round_;
  TimePoint next_check_;
  TimePoint next_reconnect_;
  std::uint64_t rounds_ = 0;
  std::size_t update_cursor_ = 0;
  std::uint64_t next_nonce_ = 0;
  // Unanswered probes: own ones and those relayed for other instances.
  std::deque<PendingProbe> pending_probes_;
};

}  // namespace sapphirestream

#endif  // SAPPHIRESTREAM_DOMAIN_MEMBERSHIP_H_
