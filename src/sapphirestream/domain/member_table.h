// The state that an instance keeps for each other instance.
#ifndef SAPPHIRESTREAM_DOMAIN_MEMBER_TABLE_H_
#define SAPPHIRESTREAM_DOMAIN_MEMBER_TABLE_H_

#include <cstdint>
#include <deque>
#include <map>
#include <set>
#include <vector>

#include "sapphirestream/base/clock.h"
#include "sapphirestream/base/id.h"
#include "sapphirestream/domain/instance_lifecycle.h"
#include "sapphirestream/domain/member_view.h"

namespace sapphirestream {

struct MemberRecord {
  DomainId domain{};
  Incarnation incarnation{};
  InstanceLifecycle lifecycle;
  // Whether a message of the current incarnation was received directly.
  bool is_heard = false;
  // Whether the platform's latest list contains it.
  bool is_listed = false;
  // Whether regular heartbeats are expected, so that silence leads to
  // suspicion.
  bool is_monitored = false;
  // Reported dead by another member; probed until it answers or expires.
  bool is_reported_dead = false;
  // Suspected or dead only because its whole domain is silent. That reflects
  // this instance's own loss of contact and is not gossiped.
  bool is_domain_silent = false;
  // When the last message arrived, or when waiting for one began.
  TimePoint last_heard;
  // When it became alive or returned; it then needs the full member list.
  TimePoint present_since;
  TimePoint changed_at;
  TimePoint last_sent;
  TimePoint last_probe;
  // Highest heartbeat sequence received from the current incarnation.
  std::uint64_t sequence = 0;
  // Until then the process that it replaced may hold decision authority: its
  // heartbeats are not echoed, and its echoes do not count.
  TimePoint predecessor_expires;
  // Members of the own domain whose latest report on this incarnation was dead
  // or left.
  std::set<InstanceId> confirmers;
  // Whether every member has confirmed the death at some time.
  bool is_death_confirmed = false;

  [[nodiscard]] MemberState state() const noexcept { return lifecycle.state(); }
};

class MemberTable {
 public:
  using Records = std::map<InstanceId, MemberRecord>;

  [[nodiscard]] MemberRecord* Find(InstanceId id) noexcept;
  // Returns the record, creating it in state joining if it does not exist.
  MemberRecord& Emplace(InstanceId id, DomainId domain, TimePoint now);
  void Erase(InstanceId id);
  // Applies an event and records a change of state; returns whether it changed.
  bool Process(InstanceId id, MemberRecord& record, InstanceEvent event,
               TimePoint now);
  // Sets a higher incarnation and resets what belongs to the previous one.
  void AdoptIncarnation(InstanceId id, MemberRecord& record,
                        Incarnation incarnation, InstanceEvent event,
                        TimePoint now);
  // Adds the member to the recent changes that heartbeats carry.
  void AddRecentChange(InstanceId id, const MemberRecord& record,
                       TimePoint now);

  [[nodiscard]] Records& records() noexcept { return records_; }
  // Ids of the members of a domain, ascending.
  [[nodiscard]] const std::vector<InstanceId>& InDomain(DomainId domain) const;
  // Domains with at least one known member.
  [[nodiscard]] const std::map<DomainId, std::vector<InstanceId>>& domains()
      const noexcept {
    return domains_;
  }
  // Returns members whose state changed recently, the latest first.
  [[nodiscard]] std::vector<InstanceId> RecentChanges(TimePoint now,
                                                      std::size_t limit);
  // Incremented with every change of the view.
  [[nodiscard]] std::uint64_t revision() const noexcept { return revision_; }
  [[nodiscard]] std::vector<Member> Members() const;

 private:
  struct Change {
    InstanceId id;
    TimePoint at;
  };
  void MarkChanged(MemberRecord& record, TimePoint now);

  Records records_;
  std::map<DomainId, std::vector<InstanceId>> domains_;
  std::deque<Change> changes_;
  std::uint64_t revision_ = 0;
};

}  // namespace sapphirestream

#endif  // SAPPHIRESTREAM_DOMAIN_MEMBER_TABLE_H_
