#include "sapphirestream/domain/member_table.h"

#include <algorithm>

#include "sapphirestream/domain/timing.h"

namespace sapphirestream {
namespace {

// A change is passed on for this long; longer than a few heartbeats between
// domains (one a second), so that single losses do not matter.
constexpr Duration kNewsLifetime = std::chrono::seconds(5);

const std::vector<InstanceId> kNobody;

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

void MemberTable::NoteChange(MemberRecord& record, TimePoint now) {
  record.changed_at = now;
  ++revision_;
}

void MemberTable::AddNews(InstanceId id, const MemberRecord& record,
                          TimePoint now) {
  if (!record.is_cut_off) changes_.push_back({id, now});
}

bool MemberTable::Process(InstanceId id, MemberRecord& record,
                          InstanceEvent event, TimePoint now) {
  const MemberState before = record.state();
  if (!record.lifecycle.Process(event)) return false;
  const bool was_absent = before != MemberState::kSuspect;
  if (record.state() == MemberState::kAlive) {
    record.is_accused = false;
    record.is_cut_off = false;
    if (was_absent) record.since = now;
  }
  record.is_death_confirmed = false;
  const bool is_suspicion =
      !was_absent || record.state() == MemberState::kSuspect;
  NoteChange(record, now);
  // Suspicion is each instance's own. Passed on, it would double the bytes at
  // 2% loss.
  if (!is_suspicion || record.state() == MemberState::kDead) {
    AddNews(id, record, now);
  }
  return true;
}

void MemberTable::Renew(InstanceId id, MemberRecord& record,
                        Incarnation incarnation, InstanceEvent event,
                        TimePoint now) {
  // A process that was replaced while it ran may go on deciding until the
  // echoes of its heartbeats are too old, and its successor must not start
  // earlier. One that left or was silent for long has no authority any more.
  if (record.is_heard &&
      MemberView::IsEligible({id, record.domain, record.state(), {}})) {
    record.echo_from = record.last_heard + kEchoLifetime;
  }
  record.incarnation = incarnation;
  record.sequence = 0;
  record.is_heard = false;
  record.is_accused = false;
  record.confirmers.clear();
  record.last_heard = now;
  if (!Process(id, record, event, now)) NoteChange(record, now);
  AddNews(id, record, now);
}

const std::vector<InstanceId>& MemberTable::InDomain(DomainId domain) const {
  const auto it = domains_.find(domain);
  return it == domains_.end() ? kNobody : it->second;
}

std::vector<InstanceId> MemberTable::Recent(TimePoint now, std::size_t limit) {
  while (!changes_.empty() && now - changes_.front().at > kNewsLifetime) {
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
