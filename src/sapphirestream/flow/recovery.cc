// Pulling of records by a new owner.
#include "sapphirestream/flow/recovery.h"

#include <algorithm>

#include "sapphirestream/flow/steering.h"

namespace sapphirestream {
namespace {

constexpr Duration kPullRetry = std::chrono::milliseconds(100);

}  // namespace

Recovery::Recovery(SteeringSink& sink) : sink_(sink) {}

void Recovery::OnSnapshot(const Snapshot& snapshot, TimePoint now) {
  own_domain_ = snapshot.own_domain;
  self_ = snapshot.self;
  TrackDeaths(snapshot, now);
  const auto position =
      std::find(snapshot.domains.begin(), snapshot.domains.end(), own_domain_);
  const auto own =
      static_cast<std::size_t>(position - snapshot.domains.begin());
  std::erase_if(services_, [&](const auto& entry) {
    return !snapshot.services.contains(entry.first);
  });
  for (const auto& [id, view] : snapshot.services) {
    const bool is_first =
        own < view.schedulers.size() && view.schedulers[own].first == self_;
    State& state = services_[id];
    if (!is_first) {
      state.machine.OnRankLost();
      state.sources.clear();
      continue;
    }
    if (state.machine.state() == OwnershipState::kIdle) {
      state.machine.OnRankedFirst();
      Start(snapshot, view, own, now);
    }
    // Sources that have died or left no longer answer.
    std::erase_if(state.sources, [&](const auto& source) {
      const Member* member = snapshot.members.Find(source.first);
      return member == nullptr || member->state == MemberState::kDead ||
             member->state == MemberState::kLeft;
    });
    FinishIfDone(state, now);
  }
}

void Recovery::TrackDeaths(const Snapshot& snapshot, TimePoint now) {
  for (const Member& member : snapshot.members.members()) {
    const auto [it, is_new] = members_.try_emplace(member.id, member.state);
    if (!is_new && it->second != member.state &&
        member.state == MemberState::kDead && member.domain != own_domain_) {
      last_remote_death_ = now;
    }
    it->second = member.state;
  }
}

void Recovery::Start(const Snapshot& snapshot, const ServiceView& view,
                     std::size_t own_position, TimePoint now) {
  State& state = services_[view.service.id];
  state.was_answered = false;
  state.deadline = now + kFirstPacketLifetime;
  state.uncertain_until = TimePoint{};
  if (last_remote_death_ != TimePoint{}) {
    state.uncertain_until = last_remote_death_ + kFirstPacketLifetime;
  }
  state.sources.clear();
  const auto add = [&](InstanceId id) {
    if (id == kNoInstance || id == self_) return;
    const Member* member = snapshot.members.Find(id);
    if (member == nullptr || member->state == MemberState::kDead) return;
    state.sources.try_emplace(id);
  };
  // The previous owner is either next in rank, if this instance has joined, or
  // first in rank in the previous view, if that instance is leaving.
  add(view.schedulers[own_position].second);
  if (own_position < view.previous_schedulers.size()) {
    add(view.previous_schedulers[own_position].first);
  }
  for (const DomainSchedulers& schedulers : view.schedulers) {
    add(schedulers.first);
  }
  for (auto& [id, source] : state.sources) {
    Pull(view.service.id, id, state, now);
  }
}

void Recovery::Pull(ServiceId service, InstanceId source, State& state,
                    TimePoint now) {
  Source& entry = state.sources.at(source);
  entry.next_attempt = now + kPullRetry;
  sink_.Send(source, RecordPull{service, own_domain_, entry.cursor});
}

void Recovery::OnPage(InstanceId from, const RecordPage& page, TimePoint now) {
  const auto it = services_.find(page.service);
  if (it == services_.end() || page.domain != own_domain_) return;
  State& state = it->second;
  const auto source = state.sources.find(from);
  if (source == state.sources.end()) return;
  state.was_answered = true;
  if (page.next_cursor == 0) {
    state.sources.erase(source);
    FinishIfDone(state, now);
    return;
  }
  // A duplicate page must not move the cursor back.
  if (page.next_cursor <= source->second.cursor) return;
  source->second.cursor = page.next_cursor;
  Pull(page.service, from, state, now);
}

void Recovery::OnTimer(TimePoint now) {
  for (auto& [id, state] : services_) {
    if (state.machine.state() != OwnershipState::kRecovering) continue;
    for (auto& [source, entry] : state.sources) {
      if (now >= entry.next_attempt) Pull(id, source, state, now);
    }
    FinishIfDone(state, now);
  }
}

void Recovery::FinishIfDone(State& state, TimePoint now) {
  if (state.sources.empty() || now >= state.deadline) {
    state.machine.OnRecordsPulled();
  }
}

OwnershipState Recovery::StateOf(ServiceId service) const noexcept {
  const auto it = services_.find(service);
  return it == services_.end() ? OwnershipState::kIdle
                               : it->second.machine.state();
}

bool Recovery::MayRunRequests(ServiceId service, TimePoint now) const noexcept {
  const auto it = services_.find(service);
  if (it == services_.end()) return false;
  const State& state = it->second;
  // If no source has answered, the records of flows placed by a former owner
  // may be on the other side of a partition.
  return state.machine.state() == OwnershipState::kDeciding &&
         (state.was_answered || now >= state.deadline) &&
         now >= state.uncertain_until;
}

std::size_t Recovery::recovering() const noexcept {
  return static_cast<std::size_t>(
      std::count_if(services_.begin(), services_.end(), [](const auto& entry) {
        return entry.second.machine.state() == OwnershipState::kRecovering;
      }));
}

}  // namespace sapphirestream
