// What an instance knows of the others, and the view made from it.
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
  // Whether the present incarnation itself gave a sign of life.
  bool is_heard = false;
  // In the platform's latest list.
  bool is_listed = false;
  // Regular heartbeats are expected from it, so that silence means something.
  bool is_monitored = false;
  // Declared dead by another member; probed until it answers or expires.
  bool is_accused = false;
  // Declared dead only because its whole domain is silent. That is this
  // instance's own loss of contact and is not passed on.
  bool is_cut_off = false;
  // Last sign of life, or when waiting for one began.
  TimePoint last_heard;
  // When it became alive or returned; it then needs the whole member list.
  TimePoint since;
  TimePoint changed_at;
  TimePoint last_sent;
  TimePoint last_probe;
  // Highest heartbeat sequence received of the present incarnation.
  std::uint64_t sequence = 0;
  // No echo before: the replaced process may still hold authority.
  TimePoint echo_from;
  // Members of the own domain whose last word on this incarnation was that it
  // is dead or left.
  std::set<InstanceId> confirmers;
  // Every member confirmed the death at some time.
  bool is_death_confirmed = false;

  [[nodiscard]] MemberState state() const noexcept { return lifecycle.state(); }
};

class MemberTable {
 public:
  using Records = std::map<InstanceId, MemberRecord>;

  [[nodiscard]] MemberRecord* Find(InstanceId id) noexcept;
  // Returns the record, created in state joining if it is new.
  MemberRecord& Emplace(InstanceId id, DomainId domain, TimePoint now);
  void Erase(InstanceId id);
  // Applies an event and notes a change of state; returns whether it changed.
  bool Process(InstanceId id, MemberRecord& record, InstanceEvent event,
               TimePoint now);
  // Takes a higher incarnation over.
  void Renew(InstanceId id, MemberRecord& record, Incarnation incarnation,
             InstanceEvent event, TimePoint now);
  // Makes the member one of the recent ones.
  void AddNews(InstanceId id, const MemberRecord& record, TimePoint now);

  [[nodiscard]] Records& records() noexcept { return records_; }
  // Ids of the members of a domain, ascending.
  [[nodiscard]] const std::vector<InstanceId>& InDomain(DomainId domain) const;
  // Domains with at least one known member.
  [[nodiscard]] const std::map<DomainId, std::vector<InstanceId>>& domains()
      const noexcept {
    return domains_;
  }
  // Returns members whose state changed lately, the latest first.
  [[nodiscard]] std::vector<InstanceId> Recent(TimePoint now,
                                               std::size_t limit);
  // Grows with every change of the view.
  [[nodiscard]] std::uint64_t revision() const noexcept { return revision_; }
  [[nodiscard]] std::vector<Member> Members() const;

 private:
  struct Change {
    InstanceId id;
    TimePoint at;
  };
  void NoteChange(MemberRecord& record, TimePoint now);

  Records records_;
  std::map<DomainId, std::vector<InstanceId>> domains_;
  std::deque<Change> changes_;
  std::uint64_t revision_ = 0;
};

}  // namespace sapphirestream

#endif  // SAPPHIRESTREAM_DOMAIN_MEMBER_TABLE_H_
