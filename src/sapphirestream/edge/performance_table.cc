#include "sapphirestream/edge/performance_table.h"

#include <algorithm>
#include <cmath>

#include "sapphirestream/edge/target_slots.h"

namespace sapphirestream {
namespace {

// Exponent of the relative time. With 1, a target that needs n times as long
// would get 1/n of the load and be as busy as the others; more keeps slow
// targets less busy, since their queues cost the most time.
constexpr double kTimeExponent = 1.5;

bool GetsLoad(const EdgeTarget& target) {
  return target.presence != TargetPresence::kGone && !target.record.draining &&
         !target.evacuated;
}

// Further slots are not counted: an entry may claim many more than a target
// has, which would let peers report as many requests.
constexpr std::uint32_t kMaxCountedSlots = 1024;

std::uint32_t CountedSlotsOf(const EdgeTarget& target) {
  return std::min(SlotsOf(target), kMaxCountedSlots);
}

// Part of the slots that is free. A request that has just failed may still be
// counted.
double IdlePart(const EdgeTarget& target, const PeerReports& peers) {
  const std::uint32_t outstanding = target.outstanding + peers.outstanding();
  const double others = std::max(outstanding, 1U) - 1;
  return std::max(0.0, 1 - others / CountedSlotsOf(target));
}

double Share(double relative_time, double allowance, double penalty_factor) {
  return std::pow(relative_time, -kTimeExponent) *
         (1 - (1 - allowance) * penalty_factor);
}

}  // namespace

double PerformanceTable::Group::MeanLogTime() const {
  return confidence > 0 ? log_time / confidence : 0;
}

double PerformanceTable::Group::PenaltyFactor() const {
  if (targets == 0) return 1;
  const double lost = 1 - allowance / static_cast<double>(targets);
  return std::clamp(
      (kNoPenaltyFrom - lost) / (kNoPenaltyFrom - kFullPenaltyUpTo), 0.0, 1.0);
}

double PerformanceTable::Group::MeanShare() const {
  return targets > 0 ? share / static_cast<double>(targets) : 1;
}

void PerformanceTable::OnRequest(const RequestObservation& observation) {
  const TimePoint now = observation.at;
  Entry* const entry =
      EntryOf(observation.target, observation.incarnation, now);
  if (entry == nullptr) return;
  auto route = routes_.find(observation.route);
  if (route == routes_.end()) {
    if (routes_.size() >= kMaxRoutes) return;
    route = routes_.try_emplace(observation.route).first;
  }
  const RequestVerdict verdict =
      route->second.Observe(observation.took, observation.answer_bytes, now);
  if (verdict.failed) {
    entry->performance.AddFailures(
        1, IdlePart(*targets_.Find(observation.target), entry->peers), now);
  } else {
    entry->performance.AddAnswers(
        1, std::max(verdict.relative_time, kMinRelativeTime), now);
  }
  own_.Add(observation.target, observation.incarnation, verdict);
  Refresh(now);
}

TargetEstimate PerformanceTable::Estimate(const EdgeTarget& target,
                                          TimePoint now) const {
  TargetEstimate estimate;
  estimate.outstanding = target.outstanding;
  if (const Entry* const entry = FindEntry(target)) {
    estimate.relative_time = entry->relative_time;
    estimate.failure_share = entry->failure_share;
    estimate.weight = entry->weight;
    if (now - refreshed_ < PeerReports::kOutstandingExpiry) {
      estimate.outstanding += entry->peers.outstanding();
    }
  } else {
    estimate.weight = NeutralWeight(target);
  }
  return estimate;
}

std::vector<TargetSamples> PerformanceTable::TakeSamples(TimePoint now) {
  Refresh(now);
  return own_.Take(targets_, now);
}

void PerformanceTable::OnPeerSamples(PeerId peer,
                                     const std::vector<TargetSamples>& samples,
                                     TimePoint now) {
  for (const TargetSamples& sample : samples) {
    ApplyPeerSamples(peer, sample, now);
  }
  Refresh(now);
}

void PerformanceTable::ApplyPeerSamples(PeerId peer,
                                        const TargetSamples& samples,
                                        TimePoint now) {
  Entry* const entry = EntryOf(samples.target, samples.incarnation, now);
  if (entry == nullptr) return;
  const EdgeTarget& target = *targets_.Find(samples.target);
  const std::uint32_t claimed_failures =
      std::min(samples.failures, samples.count);
  const std::uint32_t claimed_answers = samples.count - claimed_failures;
  const std::uint32_t failures = std::min(claimed_failures, kMaxPeerFailures);
  const std::uint32_t answers =
      std::min(claimed_answers, kMaxPeerRequests - failures);
  const std::uint32_t accepted = entry->peers.Add(
      peer,
      std::min(samples.outstanding,
               CountedSlotsOf(target) * kMaxPeerOutstandingPerSlot),
      answers + failures, entry->performance.Evidence(now), now);
  const std::uint32_t accepted_failures = std::min(failures, accepted);
  if (answers > 0) {
    const double mean = static_cast<double>(samples.relative_time_permille) /
                        1000 / claimed_answers;
    entry->performance.AddAnswers(
        accepted - accepted_failures,
        std::clamp(mean, kMinRelativeTime, kMaxRelativeTime), now);
  }
  entry->performance.AddFailures(accepted_failures,
                                 IdlePart(target, entry->peers), now);
}

void PerformanceTable::ErasePeer(PeerId peer) {
  for (auto& [key, entry] : entries_) entry.peers.Erase(peer);
}

PerformanceTable::Entry* PerformanceTable::EntryOf(TargetKey key,
                                                   Incarnation incarnation,
                                                   TimePoint now) {
  const EdgeTarget* const target = targets_.Find(key);
  if (target == nullptr || target->record.incarnation != incarnation) {
    return nullptr;
  }
  Entry& entry = entries_[key];
  if (entry.incarnation != incarnation) {
    entry = Entry();
    entry.incarnation = incarnation;
  }
  entry.last_used = now;
  return &entry;
}

const PerformanceTable::Entry* PerformanceTable::FindEntry(
    const EdgeTarget& target) const {
  const auto it = entries_.find(target.record.key);
  if (it == entries_.end() ||
      it->second.incarnation != target.record.incarnation) {
    return nullptr;
  }
  return &it->second;
}

PerformanceTable::Group& PerformanceTable::GroupOf(const EdgeTarget& target) {
  GroupPair& pair = groups_[target.service];
  return target.is_local ? pair.local : pair.remote;
}

double PerformanceTable::NeutralWeight(const EdgeTarget& target) const {
  const auto it = groups_.find(target.service);
  if (it == groups_.end()) return 1;
  const Group& group = target.is_local ? it->second.local : it->second.remote;
  return std::clamp(1 / group.MeanShare(), kMinWeight, kMaxWeight);
}

void PerformanceTable::Refresh(TimePoint now) {
  if (now - refreshed_ < kRefreshInterval) return;
  refreshed_ = now;
  Forget(now);
  SumTimesAndFailures(now);
  SumShares(now);
  SetWeights();
}

void PerformanceTable::Forget(TimePoint now) {
  std::erase_if(entries_, [this, now](const auto& item) {
    const auto& [key, entry] = item;
    const EdgeTarget* const target = targets_.Find(key);
    return target == nullptr ||
           target->record.incarnation != entry.incarnation ||
           now - entry.last_used >= kIdleRetention;
  });
  std::erase_if(routes_, [now](const auto& item) {
    return now - item.second.last_used() >= kRouteRetention;
  });
  for (auto& [key, entry] : entries_) entry.peers.Expire(now);
}

void PerformanceTable::SumTimesAndFailures(TimePoint now) {
  groups_.clear();
  targets_.ForEach([this, now](const EdgeTarget& target) {
    if (!GetsLoad(target)) return;
    Group& group = GroupOf(target);
    ++group.targets;
    const Entry* const entry = FindEntry(target);
    if (entry == nullptr) {
      group.allowance += 1;
      return;
    }
    const double confidence = entry->performance.Confidence(now);
    group.confidence += confidence;
    group.log_time += confidence * entry->performance.LogTime();
    group.allowance += entry->performance.Allowance(now);
  });
}

void PerformanceTable::SumShares(TimePoint now) {
  targets_.ForEach([this, now](const EdgeTarget& target) {
    Group& group = GroupOf(target);
    const auto it = entries_.find(target.record.key);
    if (it == entries_.end()) {
      if (GetsLoad(target)) group.share += 1;
      return;
    }
    Entry& entry = it->second;
    const TargetPerformance& performance = entry.performance;
    entry.relative_time =
        std::exp(performance.Confidence(now) *
                 (performance.LogTime() - group.MeanLogTime()));
    entry.failure_share = performance.FailureShare(now);
    entry.weight = Share(entry.relative_time, performance.Allowance(now),
                         group.PenaltyFactor());
    if (GetsLoad(target)) group.share += entry.weight;
  });
}

void PerformanceTable::SetWeights() {
  penalised_ = 0;
  for (auto& [key, entry] : entries_) {
    const EdgeTarget* const target = targets_.Find(key);
    const double weight = entry.weight / GroupOf(*target).MeanShare();
    entry.weight = std::clamp(weight, kMinWeight, kMaxWeight);
    if (entry.weight < kPenalisedBelow) ++penalised_;
  }
}

}  // namespace sapphirestream
