// Membership of the instances: heartbeats, suspicion, probes, death and return.
// Rules are in docs/design.md, section 5; the lifecycle is in
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

// An entry of the platform's list of instances. Its leaving flag is not used:
// only the instance itself can give up its authority.
struct InstanceListing {
  InstanceId id = kNoInstance;
  DomainId domain{};
};

class Membership {
 public:
  struct Options {
    InstanceId self = kNoInstance;
    DomainId domain{};
    // Higher than that of any earlier run, for example the wall clock at the
    // start in milliseconds.
    Incarnation incarnation{};
    // Whether the instance may become alive; see SetReady().
    bool ready = true;
  };

  Membership(const Options& options, DomainSink& sink, Random& random,
             TimePoint now);

  // Takes the platform's list, which lags and may contain the dead.
  void OnList(std::span<const InstanceListing> list, TimePoint now);
  // Handles heartbeats, probes, their answers and leaves; ignores the rest.
  void OnMessage(InstanceId from, const DomainMessage& message, TimePoint now);
  // Does what is due; call at least every 100 ms.
  void OnTimer(TimePoint now);
  // The versions that heartbeats carry.
  void SetConfigVersions(ConfigVersion prepared, ConfigVersion active);
  // An instance that is not ready (without a configuration) stays joining.
  void SetReady(bool ready) noexcept { is_ready_ = ready; }
  // Rank keys of the services; only used in domains above kFullMeshLimit.
  void SetKeys(std::vector<std::uint64_t> keys);
  // Gives up the authority and tells the others.
  void BeginLeave(TimePoint now);

  // Whether a later run of this instance was seen. It has taken this one's
  // place for good; the process sends nothing any more and should end.
  [[nodiscard]] bool is_superseded() const noexcept { return is_superseded_; }

  // The view includes this instance.
  [[nodiscard]] const MemberView& view() const noexcept { return view_; }
  // Grows with every change of the view.
  [[nodiscard]] std::uint64_t revision() const noexcept { return revision_; }
  [[nodiscard]] MemberState state() const noexcept { return state_; }
  [[nodiscard]] Incarnation incarnation() const noexcept {
    return incarnation_;
  }
  // Until when this instance may decide flows of the service with this rank
  // key; DecisionAuthority::kNone if it may not.
  [[nodiscard]] TimePoint AuthorityUntil(std::uint64_t key) const;
  // The same for all keys of SetKeys() that this instance ranks first for.
  [[nodiscard]] TimePoint AuthorityUntil() const;

 private:
  struct Relay {
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
  // Takes what a member of `from_domain` believes about another one.
  void Merge(DomainId from_domain, const Member& news, TimePoint now);
  // Notes which members a neighbour holds dead.
  void NoteWord(InstanceId from, const Member& news);
  void MergeOwn(const Member& news, TimePoint now);
  void MergeUnknown(const Member& news, TimePoint now);
  void MergeDead(DomainId from_domain, const Member& news, MemberRecord& record,
                 TimePoint now);

  // Sending (membership_send.cc).
  void SendHeartbeat(InstanceId to, TimePoint now);
  // Sends a heartbeat that names one member, so that it can refute its death.
  void SendAccusation(InstanceId to, const Member& subject, TimePoint now);
  [[nodiscard]] Heartbeat MakeHeartbeat(InstanceId to,
                                        const MemberRecord* record,
                                        TimePoint now) const;
  [[nodiscard]] Member Describe(InstanceId id,
                                const MemberRecord& record) const;
  void AddNews(InstanceId to, const MemberRecord* record, TimePoint now,
               std::vector<Member>& out);
  void SendRound(TimePoint now);
  void SendToDomain(DomainId domain, TimePoint now);
  void SendProbe(InstanceId to, InstanceId subject, TimePoint now);

  // Timers (membership.cc).
  void OnPause(Duration gap, TimePoint now);
  void BeginJoining(TimePoint now, Duration shortest);
  // Joins again with a higher incarnation, and finds out anew who is alive.
  void Rejoin(TimePoint now);
  void CheckIsolation(TimePoint now);
  void UpdateFences(TimePoint now);
  void TryFinishJoining(TimePoint now);
  // Asks the live members of other domains that have not echoed this
  // incarnation. Returns whether all of them did so long ago that no echo of
  // an earlier process of this id supports that process any more.
  [[nodiscard]] bool AskOtherDomains(TimePoint now);
  void CheckOwnDomain(TimePoint now);
  void CheckSilence(InstanceId id, MemberRecord& record, TimePoint now);
  void CheckOtherDomains(TimePoint now);
  void Forget(TimePoint now);
  void Refresh(TimePoint now);
  // Until when the instance can tell the loss of all its neighbours from its
  // own isolation.
  [[nodiscard]] TimePoint WitnessedUntil() const;
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
  // Whether the process is so new that a higher incarnation of its own can
  // only be that of an earlier run: not yet alive, never paused.
  bool may_raise_ = true;
  TimePoint joining_since_;
  Duration joining_shortest_{};
  ConfigVersion prepared_{};
  ConfigVersion active_{};
  std::vector<std::uint64_t> keys_;

  MemberTable table_;
  MemberView view_;
  // Revision of the table that view_ and plan_ were made from.
  std::uint64_t seen_revision_ = 0;
  std::uint64_t revision_ = 0;
  bool is_stale_ = true;
  // Members of the own domain that were heard joining.
  std::vector<InstanceId> joining_;
  // Members of the own domain that nobody may decide in place of yet: those
  // that were replaced while they ran, until the echoes of the old process are
  // too old, and the dead whose death the other members have not confirmed.
  std::vector<InstanceId> fenced_;
  // All neighbours are dead and no other domain is heard.
  bool is_isolated_ = false;
  // Above kFullMeshLimit.
  bool is_large_ = false;
  HeartbeatPlan plan_;
  DecisionAuthority authority_;

  // When any message of the domain arrived.
  std::map<DomainId, TimePoint> domain_heard_;
  std::map<DomainId, TimePoint> domain_next_;
  // When the latest heartbeat was sent that another domain echoed.
  TimePoint outside_echo_;
  // When a live member of another domain had last not echoed this incarnation.
  TimePoint outside_missing_at_;
  TimePoint next_question_;
  TimePoint next_round_;
  TimePoint next_check_;
  TimePoint next_healing_;
  std::uint64_t rounds_ = 0;
  std::size_t news_cursor_ = 0;
  std::uint64_t next_nonce_ = 0;
  // Own probes without an answer so far, and those relayed for others.
  std::deque<Relay> probes_;
};

}  // namespace sapphirestream

#endif  // SAPPHIRESTREAM_DOMAIN_MEMBERSHIP_H_
