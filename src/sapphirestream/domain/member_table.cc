#include "sapphirestream/domain/member_table.h"

#include <algorithm>

#include "sapphirestream/domain/timing.h"

namespace sapphirestream {
namespace {

// How long a change is included in heartbeats. Spans several of the heartbeats
// between domains (one a second), so that a single loss does not matter.
constexpr Duration kRecentChangeLifetime = std::chrono::seconds(5);

const std::vector<InstanceId> kNoMembers;

}  // namespace

MemberRecord* MemberTable::Find(InstanceId id) noexcept {
  const auto it = records_.find(id);
  return it == records_.end() ? nullptr : &it->second;
}

MemberRecord& MemberTable::Emplace(InstanceId id, DomainId domain,
                                   TimePoint now) {
  const auto [it, is_new] = records_.try_emplace(id);
  if (is_new) {
    it->second.domain = domain;
    it->second.last_heard = now;
    it->second.changed_at = now;
    std::vector<InstanceId>& ids = domains_[domain];
    ids.insert(std::lower_bound(ids.begin(), ids.end(), id), id);
    ++revision_;
  }
  return it->second;
}

void MemberTable::Erase(InstanceId id) {
  const auto it = records_.find(id);
  if (it == records_.end()) return;
  std::vector<InstanceId>& ids = domains_[it->second.domain];
  std::erase(ids, id);
  if (ids.empty()) domains_.erase(it->second.domain);
  records_.erase(it);
  ++revision_;
}

void MemberTable::MarkChanged(MemberRecord& record, TimePoint now) {
  record.changed_at = now;
  ++revision_;
}

void MemberTable::AddRecentChange(InstanceId id, const MemberRecord& record,
                                  TimePoint now) {
  if (!record.is_domain_silent) changes_.push_back({id, now});
}

bool MemberTable::Process(InstanceId id, MemberRecord& record,
                          InstanceEvent event, TimePoint now) {
  const MemberState before = record.state();
  if (!record.lifecycle.Process(event)) return false;
  const bool was_absent = before != MemberState::kSuspect;
  if (record.state() == MemberState::kAlive) {
    record.is_reported_dead = false;
    record.is_domain_silent = false;
    if (was_absent) record.present_since = now;
  }
  record.is_death_confirmed = false;
  const bool is_suspicion =
      !was_absent || record.state() == MemberState::kSuspect;
  MarkChanged(record, now);
  // Suspicion is local to each instance. Gossiping it would double the control
  // traffic at 2% packet loss.
  if (!is_suspicion || record.state() == MemberState::kDead) {
    AddRecentChange(id, record, now);
  }
  return true;
}

void MemberTable::AdoptIncarnation(InstanceId id, MemberRecord& record,
                                   Incarnation incarnation, InstanceEvent event,
                                   TimePoint now) {
  // A process that was replaced while still running may go on deciding until
  // the echoes of its heartbeats expire, and its successor must not start
  // earlier. A process that left or is dead has no authority any more.
  if (record.is_heard &&
      MemberView::IsEligible({id, record.domain, record.state(), {}})) {
    record.predecessor_expires = record.last_heard + kEchoLifetime;
  }
  record.incarnation = incarnation;
  record.sequence = 0;
  record.is_heard = false;
  record.is_reported_dead = false;
  record.confirmers.clear();
  record.last_heard = now;
  if (!Process(id, record, event, now)) MarkChanged(record, now);
  AddRecentChange(id, record, now);
}

const std::vector<InstanceId>& MemberTable::InDomain(DomainId domain) const {
  const auto it = domains_.find(domain);
  return it == domains_.end() ? kNoMembers : it->second;
}

std::vector<InstanceId> MemberTable::RecentChanges(TimePoint now,
                                                   std::size_t limit) {
  while (!changes_.empty() &&
         now - changes_.front().at > kRecentChangeLifetime) {
    changes_.pop_front();
  }
  std::vector<InstanceId> ids;
  for (auto it = changes_.rbegin(); it != changes_.rend(); ++it) {
    if (ids.size() >= limit) break;
    if (std::find(ids.begin(), ids.end(), it->id) == ids.end()) {
      ids.push_back(it->id);
    }
  }
  return ids;
}

std::vector<Member> MemberTable::Members() const {
  std::vector<Member> members;
  members.reserve(records_.size() + 1);
  for (const auto& [id, record] : records_) {
    members.push_back({id, record.domain, record.state(), record.incarnation});
  }
  return members;
}

}  // namespace sapphirestream
